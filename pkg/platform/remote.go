package platform

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// Remote is a Service that calls the platform over Twirp.
type Remote struct {
	client platformpb.Platform
	caller string
}

// NewRemote returns a client for the platform at a base URL such as
// http://127.0.0.1:7000. caller identifies the VM and its data centre in the
// platform's own records.
func NewRemote(baseURL, caller string, client *http.Client) *Remote {
	return &Remote{client: platformpb.NewPlatformProtobufClient(baseURL, client), caller: caller}
}

// Scan implements Table.
func (r *Remote) Scan(ctx context.Context, prefix string, since uint64) ([]Row, uint64, error) {
	resp, err := r.client.Scan(ctx, &platformpb.ScanRequest{Prefix: prefix, Since: since, Caller: r.caller})
	if err != nil {
		return nil, 0, markUnavailable(err)
	}
	return rowsFromProto(resp.Rows), resp.Revision, nil
}

// Commit implements Table. A failed call returns ErrUnknown, because the request
// may have been applied before the connection failed. Only if no connection could
// be opened was the request certainly not sent; the call then returns
// ErrUnavailable.
func (r *Remote) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	req := &platformpb.CommitRequest{Caller: r.caller}
	for _, c := range txn.Conditions {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, w := range txn.Writes {
		req.Writes = append(req.Writes, &platformpb.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	resp, err := r.client.Commit(ctx, req)
	if err != nil {
		return Outcome{}, errors.Mark(errors.Wrap(err, "commit"), classifyCommitError(err))
	}
	return Outcome{Committed: resp.Committed, Revision: resp.Revision, Conflicts: rowsFromProto(resp.Conflicts)}, nil
}

// Put implements Objects.
func (r *Remote) Put(ctx context.Context, name string, blob []byte) error {
	_, err := r.client.Put(ctx, &platformpb.PutRequest{Name: name, Blob: blob, Caller: r.caller})
	return markUnavailable(err)
}

// Get implements Objects.
func (r *Remote) Get(ctx context.Context, name string) ([]byte, bool, error) {
	resp, err := r.client.Get(ctx, &platformpb.GetRequest{Name: name, Caller: r.caller})
	if err != nil {
		return nil, false, markUnavailable(err)
	}
	return resp.Blob, resp.Found, nil
}

// List implements VMs.
func (r *Remote) List(ctx context.Context) ([]topology.VM, error) {
	resp, err := r.client.List(ctx, &platformpb.ListRequest{Caller: r.caller})
	if err != nil {
		return nil, markUnavailable(err)
	}
	vms := make([]topology.VM, 0, len(resp.Vms))
	for _, vm := range resp.Vms {
		vms = append(vms, VMFromProto(vm))
	}
	return vms, nil
}

// Register implements VMs.
func (r *Remote) Register(ctx context.Context, vm topology.VM) error {
	_, err := r.client.Register(ctx, &platformpb.RegisterRequest{Vm: VMToProto(vm)})
	return markUnavailable(err)
}

// classifyCommitError returns ErrUnavailable for a commit that was never sent, and
// ErrUnknown for one that may have been applied. The client reports all other
// errors in the same form, so only a dial error shows that nothing was sent.
func classifyCommitError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

func markUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, ErrUnavailable)
}

func rowsFromProto(rows []*platformpb.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}

// VMFromProto converts a protobuf message to a VM.
func VMFromProto(vm *platformpb.VM) topology.VM {
	return topology.VM{
		ID:          topology.VMID(vm.Id),
		DataCentre:  topology.DataCentre(vm.DataCentre),
		Region:      vm.Region,
		PeerAddress: vm.PeerAddress,
		Incarnation: topology.Incarnation(vm.Incarnation),
		Leaving:     vm.Leaving,
	}
}

// VMToProto converts a VM to its protobuf message.
func VMToProto(vm topology.VM) *platformpb.VM {
	return &platformpb.VM{
		Id:          string(vm.ID),
		DataCentre:  string(vm.DataCentre),
		Region:      vm.Region,
		PeerAddress: vm.PeerAddress,
		Incarnation: uint64(vm.Incarnation),
		Leaving:     vm.Leaving,
	}
}

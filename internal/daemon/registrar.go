package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// registerPeriod of the look, in memory, whether this VM's row is as it should
	// be; it is written at the start, at leaving and after a loss only.
	registerPeriod = time.Second
	// registerTimeout of one write.
	registerTimeout = 2 * time.Second
	// prunePeriod of the look for rows of VMs that are gone. One VM of a data
	// centre reads the platform's list for it.
	prunePeriod = time.Minute
)

// registrar keeps the VMs' rows: every daemon its own, and one of each data
// centre drops those of VMs that the platform does not list any more. The rows
// spread as all others do, so that nobody polls the platform's list.
type registrar struct {
	view     *view.View
	rows     *relay.Store
	platform platform.Service
	publish  publisher
	sink     *rowSink
	log      *slog.Logger
}

func newRegistrar(v *view.View, rows *relay.Store, p platform.Service, pub publisher, sink *rowSink, log *slog.Logger) *registrar {
	return &registrar{view: v, rows: rows, platform: p, publish: pub, sink: sink, log: log}
}

// tick writes this VM's row when it differs from what the VM is.
func (r *registrar) tick(ctx context.Context) {
	r.register(ctx)
	r.sink.retakeVMs()
}

// register reports whether the row is as it should be.
func (r *registrar) register(ctx context.Context) bool {
	self := r.view.Self()
	held, ok := r.ownRow(self.ID)
	if ok && held.Incarnation > self.Incarnation {
		r.log.Error("event=vm_replaced", "incarnation", held.Incarnation)
		return true // Another process runs under this name; the row is its own.
	}
	if ok && held == self {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := r.write(ctx, self); err != nil {
		r.log.Warn("event=register_failed", "error", err)
		return false
	}
	r.log.Info("event=registered", "incarnation", self.Incarnation, "leaving", self.Leaving)
	return true
}

func (r *registrar) ownRow(id topology.VMID) (topology.VM, bool) {
	vms, _ := view.DecodeVMs(r.rows.Rows(view.VMKey(id))) // An unreadable row is written anew.
	for _, vm := range vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return topology.VM{}, false
}

// write needs no condition: nobody else writes the row of a VM that runs.
func (r *registrar) write(ctx context.Context, self topology.VM) error {
	if err := r.platform.Register(ctx, self); err != nil {
		return err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := view.VMKey(self.ID)
	out, err := r.platform.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	r.readOthers(ctx)
	r.publish(platform.Row{Key: key, Value: value, Revision: out.Revision})
	return nil
}

// readOthers reads the VMs' rows after this VM's own was written. Failure: VMs
// that start together each read before the others' rows were there, and until
// the next poll each takes itself for the only one, pools all targets and stands
// alone in the rows of new groups. Of two, the one that wrote later sees the
// other here and announces itself to it.
func (r *registrar) readOthers(ctx context.Context) {
	began := time.Now()
	rows, _, err := r.platform.Scan(ctx, view.VMPrefix, 0)
	if err != nil {
		r.log.Debug("event=platform_unreachable", "error", err)
		return
	}
	r.rows.NoteReached(began)
	r.rows.Apply(rows, 0, began)
}

// prune drops the rows of this data centre's VMs that the platform's list lacks
// and that do not answer. The list lags, so neither suffices alone.
func (r *registrar) prune(ctx context.Context) {
	self := r.view.Self()
	if !r.view.FirstRelay() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	vms, err := r.platform.List(ctx)
	if err != nil {
		r.log.Debug("event=platform_unreachable", "error", err)
		return
	}
	listed := map[topology.VMID]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	for _, s := range r.view.Statuses() {
		gone := s.State == membership.Dead || s.State == membership.Leaving
		if s.VM.DataCentre == self.DataCentre && gone && !listed[s.VM.ID] {
			r.drop(ctx, s.VM.ID)
		}
	}
}

// drop deletes the row only as it was seen: a VM that starts again meanwhile has
// written it anew.
func (r *registrar) drop(ctx context.Context, id topology.VMID) {
	key := view.VMKey(id)
	for _, row := range r.rows.Rows(key) {
		if row.Key != key || row.Deleted {
			continue
		}
		out, err := r.platform.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: key, Delete: true}},
		})
		r.log.Info("event=vm_dropped", "id", id, "committed", out.Committed, "error", err)
	}
}

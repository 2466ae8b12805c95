package peers

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Headers by which every message between VMs tells who sent it: signs of life
// that cost no message of their own.
const (
	headerVM          = "Bts-Vm"
	headerDataCentre  = "Bts-Data-Centre"
	headerAddress     = "Bts-Address"
	headerIncarnation = "Bts-Incarnation"
	headerLeaving     = "Bts-Leaving"
)

// Observer hears what is seen of other VMs.
type Observer interface {
	Self() topology.VM
	Observe(membership.Evidence)
}

func writeSender(h http.Header, vm topology.VM) {
	h.Set(headerVM, string(vm.ID))
	h.Set(headerDataCentre, string(vm.DataCentre))
	h.Set(headerAddress, vm.PeerAddress)
	h.Set(headerIncarnation, strconv.FormatUint(uint64(vm.Incarnation), 10))
	if vm.Leaving {
		h.Set(headerLeaving, "1")
	}
}

func readSender(h http.Header) (topology.VM, bool) {
	incarnation, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return topology.VM{}, false
	}
	return topology.VM{
		ID:          topology.VMID(h.Get(headerVM)),
		DataCentre:  topology.DataCentre(h.Get(headerDataCentre)),
		PeerAddress: h.Get(headerAddress),
		Incarnation: topology.Incarnation(incarnation),
		Leaving:     h.Get(headerLeaving) != "",
	}, true
}

// Handler tells callers who answers and takes their messages as signs of life.
func Handler(next http.Handler, o Observer, clock mono.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vm, ok := readSender(r.Header); ok {
			o.Observe(membership.Evidence{VM: vm, Kind: membership.Heartbeat, At: clock.Now()})
		}
		writeSender(w.Header(), o.Self())
		next.ServeHTTP(w, r)
	})
}

// observingTransport turns answers and failures into evidence.
type observingTransport struct {
	next     http.RoundTripper
	vm       topology.VMID
	observer Observer
	clock    mono.Clock
}

// RoundTrip implements http.RoundTripper.
func (t *observingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	began := t.clock.Now()
	r = r.Clone(r.Context())
	writeSender(r.Header, t.observer.Self())
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		t.failed(r, err, began)
		return resp, err
	}
	if vm, ok := readSender(resp.Header); ok {
		t.observer.Observe(membership.Evidence{VM: vm, Kind: membership.Answer, At: t.clock.Now()})
	}
	return resp, nil
}

// failed counts refused connections, and silence only of messages that are
// answered at once by a VM that is well: a request that waits for its target
// says nothing of its pooler's VM.
func (t *observingTransport) failed(r *http.Request, err error, began mono.Time) {
	kind := membership.Silence
	var op *net.OpError
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		dialled := errors.As(err, &op) && op.Op == "dial"
		if !dialled && !strings.HasPrefix(r.URL.Path, peerpb.FailoverPathPrefix) {
			return
		}
	case errors.As(err, &op) && op.Op == "dial":
		kind = membership.ConnectionRefused
	default:
		return
	}
	t.observer.Observe(membership.Evidence{VM: topology.VM{ID: t.vm}, Kind: kind, At: began})
}

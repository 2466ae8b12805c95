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

// Headers that identify the sender of each message between VMs. They give signs of
// life without extra messages.
const (
	headerVM          = "Bts-Vm"
	headerDataCentre  = "Bts-Data-Centre"
	headerAddress     = "Bts-Address"
	headerIncarnation = "Bts-Incarnation"
	headerLeaving     = "Bts-Leaving"
)

// Observer receives evidence about other VMs.
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

// Handler adds this VM's identity to responses and reports each request as a sign of
// life of its sender.
func Handler(next http.Handler, o Observer, clock mono.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vm, ok := readSender(r.Header); ok {
			o.Observe(membership.Evidence{VM: vm, Kind: membership.Heartbeat, At: clock.Now()})
		}
		writeSender(w.Header(), o.Self())
		next.ServeHTTP(w, r)
	})
}

// observingTransport reports responses and failures as evidence about a VM.
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
		t.observeFailure(r, err, began)
		return resp, err
	}
	if vm, ok := readSender(resp.Header); ok {
		t.observer.Observe(membership.Evidence{VM: vm, Kind: membership.Answer, At: t.clock.Now()})
	}
	return resp, nil
}

// observeFailure reports refused connections, and reports silence only for dials and
// for messages that a healthy VM answers at once: a time-out of a request that waits
// for its target says nothing about the VM of the pooler.
func (t *observingTransport) observeFailure(r *http.Request, err error, began mono.Time) {
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

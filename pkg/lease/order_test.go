package lease

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Guards against an order that is sent too late to arrive before its end.
func TestAnOrderIsSentInTimeToArrive(t *testing.T) {
	o := Order{Evidence: mono.Time(time.Hour)}
	if flight := o.End().Sub(o.LastSend()); flight != MinOrderFlight {
		t.Fatalf("%v left at the last moment", flight)
	}
	for late, want := range map[time.Duration]bool{-time.Millisecond: true, 0: true, time.Millisecond: false} {
		if got := o.MaySend(o.LastSend().Add(late)); got != want {
			t.Errorf("%v after the last moment: %v", late, got)
		}
	}
	if (Order{}).MaySend(0) {
		t.Error("an order without evidence")
	}
}

// Guards against a coordinator that relies on a target which an order of its predecessor is still to reach.
func TestOrdersOfAnEarlierCoordinator(t *testing.T) {
	const now = mono.Time(time.Hour)
	open := &Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	closed := open.Closed("primary_failed")
	for _, c := range []struct {
		name string
		row  *Row
		want mono.Time
	}{
		{"the first coordinator", closed, 0},
		{"taken over while open", open.TakenBy("vm-1", 1, "vm-2", nil), 0},
		{"taken over while closed", closed.TakenBy("vm-1", 1, "vm-1", nil), now.Add(OrderLife)},
		{"taken over with a candidate", closed.WithCandidate("b", position.Position{}, false).TakenBy("vm-1", 1, "vm-1", nil), now.Add(OrderLife)},
		{"handed over without an order pending", closed.TakenBy("vm-1", 1, "vm-2", nil).Quieted(), 0},
		{"taken over from one to whom it was handed over so", closed.TakenBy("vm-2", 1, "vm-2", nil).Quieted().TakenBy("vm-1", 1, "vm-1", nil), now.Add(OrderLife)},
	} {
		k := NewCoordinator("vm-1", 1)
		k.Observe(c.row, now, now)
		if got := k.OrdersEnd("g"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

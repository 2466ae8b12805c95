package slotshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const renewal = 250 * ms

// fleet simulates the holders of a target and two VMs that coordinate its group, in steps of 1 ms.
type fleet struct {
	random  *rand.Rand
	now     mono.Time
	slots   int
	names   []topology.VMID
	holders map[topology.VMID]*simulatedHolder
	// dividers are those of the two coordinators.
	dividers map[topology.VMID]*slotshare.Divider
	messages []simulatedMessage
	// loss is the part of the messages that is lost; twice the part that comes twice or late.
	loss float64
	// demand returns what a holder reports.
	demand func(topology.VMID) slotshare.Demand
}

type simulatedHolder struct {
	limit       slotshare.Limit
	incarnation topology.Incarnation
	coordinator topology.VMID
	sequence    map[topology.VMID]uint64
	due         mono.Time
	// startsAt is when a holder that restarts sends statements again. Its daemon takes longer to start than the loans
	// are valid that rest on what the one before it had confirmed.
	startsAt mono.Time
}

type simulatedMessage struct {
	at      mono.Time
	deliver func()
}

func newFleet(seed uint64, slots, holders int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), slots: slots,
		holders: map[topology.VMID]*simulatedHolder{}, dividers: map[topology.VMID]*slotshare.Divider{},
	}
	for i := range holders {
		vm := topology.VMID(fmt.Sprintf("vm-%d", i))
		f.names = append(f.names, vm)
		f.holders[vm] = &simulatedHolder{coordinator: "c1", incarnation: 1, sequence: map[topology.VMID]uint64{}, due: mono.Time(f.random.Int64N(int64(renewal)))}
		f.holders[vm].limit.Configure(slots, holders)
	}
	f.restart("c1")
	f.restart("c2")
	return f
}

// restart makes a coordinator forget everything.
func (f *fleet) restart(coordinator topology.VMID) {
	d := slotshare.NewDivider(f.now)
	d.Configure(f.slots, f.names, f.now)
	f.dividers[coordinator] = d
}

// send delivers a message after 1 to 30 ms, or never, or twice, or up to 500 ms late.
func (f *fleet) send(deliver func()) {
	if f.random.Float64() < f.loss {
		return
	}
	delay := mono.Time(f.random.Int64N(int64(29*ms))) + ms
	if f.random.Float64() < f.loss {
		delay += mono.Time(f.random.Int64N(int64(500 * ms)))
	}
	f.messages = append(f.messages, simulatedMessage{f.now + delay, deliver})
	if f.random.Float64() < f.loss {
		f.messages = append(f.messages, simulatedMessage{f.now + 2*delay, deliver})
	}
}

func (f *fleet) step() {
	f.now += ms
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at <= f.now {
			m.deliver()
		} else {
			f.messages = append(f.messages, m)
		}
	}
	for _, vm := range f.names {
		if h := f.holders[vm]; max(h.due, h.startsAt) <= f.now {
			h.due = f.now + renewal
			f.report(vm, h)
		}
	}
}

func (f *fleet) report(vm topology.VMID, h *simulatedHolder) {
	to, incarnation, sent := h.coordinator, h.incarnation, f.now
	h.sequence[to]++
	sequence, demand := h.sequence[to], f.demand(vm)
	demand.Applied = h.limit.Applied(to, f.now)
	f.send(func() {
		divider := f.dividers[to]
		divider.Report(vm, incarnation, sequence, demand, f.now)
		if share, ok := divider.Answer(vm, f.now); ok {
			f.send(func() {
				if h.incarnation == incarnation {
					h.limit.Give(to, sequence, share, sent, f.now)
				}
			})
		}
	})
}

// sums returns the sum of the valid shares, and that of what all holders may have in flight.
func (f *fleet) sums() (valid, all int) {
	for _, h := range f.holders {
		if f.now < h.startsAt {
			continue
		}
		given := h.limit.Given(f.now)
		all += given
		if h.limit.Shared(f.now) {
			valid += given
		}
	}
	return valid, all
}

// disturb restarts holders and coordinators, and makes holders report to the other coordinator, at random.
func (f *fleet) disturb() {
	switch vm := f.names[f.random.IntN(len(f.names))]; f.random.IntN(2000) {
	case 0:
		h := f.holders[vm]
		h.incarnation++
		h.limit, h.sequence = slotshare.Limit{}, map[topology.VMID]uint64{}
		h.limit.Configure(f.slots, len(f.names))
		h.startsAt = f.now.Add(slotshare.LoanLifetime)
	case 1, 2, 3, 4:
		f.holders[vm].coordinator = map[topology.VMID]topology.VMID{"c1": "c2", "c2": "c1"}[f.holders[vm].coordinator]
	case 5:
		f.restart([]topology.VMID{"c1", "c2"}[f.random.IntN(2)])
	}
}

// Guards against allowances that exceed the total after messages are lost, late, repeated or out of order, after
// restarts, and while holders report to two coordinators.
func TestAllowancesStayWithinTheTotal(t *testing.T) {
	loans := 0
	for seed := range uint64(60) {
		slots, holders := 2+int(seed%7), 2+int(seed/7%6)
		f := newFleet(seed, slots, holders)
		f.loss = float64(seed%4) * 0.1
		f.demand = func(topology.VMID) slotshare.Demand {
			d := slotshare.Demand{InFlight: f.random.IntN(4)}
			if f.random.IntN(3) > 0 {
				d.Waiting = []slotshare.Waiting{{Priority: 1, Count: f.random.IntN(3)}, {Priority: 3, Count: f.random.IntN(20)}}
			}
			return d
		}
		total, safe := slotshare.Total(slots), slotshare.SafePart(slots, holders)
		for f.now < 60_000*ms {
			f.step()
			f.disturb()
			valid, all := f.sums()
			if valid > max(total, holders) || all > holders*safe {
				t.Fatalf("seed %d at %v: valid shares add up to %d, all allowances to %d; total %d, safe parts %d",
					seed, time.Duration(f.now), valid, all, total, holders*safe)
			}
			for _, h := range f.holders {
				if h.limit.Given(f.now) > safe {
					loans++
				}
			}
		}
	}
	if loans == 0 {
		t.Fatal("no holder ever had more than its safe part")
	}
}

// Guards against slots that stay with holders where nothing waits, and against a holder that keeps what it was lent, or
// stays below its safe part, once it hears nothing.
func TestCapacityGoesWhereRequestsWait(t *testing.T) {
	f := newFleet(1, 8, 4) // Total 16, safe parts of 4.
	f.demand = func(vm topology.VMID) slotshare.Demand {
		if vm != "vm-0" {
			return slotshare.Demand{}
		}
		return slotshare.Demand{InFlight: 4, Waiting: []slotshare.Waiting{{Priority: 1, Count: 30}}}
	}
	for f.now < 3_000*ms {
		f.step()
	}
	busy := &f.holders["vm-0"].limit
	if got := busy.Given(f.now); got != 13 {
		t.Fatalf("the holder where all requests wait has %d of 16", got)
	}
	f.loss = 1 // From now on nobody hears anything.
	silent := f.now
	for f.now < silent+1_000*ms {
		f.step()
	}
	if got := busy.Given(f.now); got != 4 {
		t.Fatalf("%d without an answer for 1 s", got)
	}
	for f.now < silent+1_600*ms {
		f.step()
	}
	for vm, h := range f.holders {
		if got := h.limit.Given(f.now); got != 4 {
			t.Fatalf("%s has %d, not its safe part", vm, got)
		}
	}
}

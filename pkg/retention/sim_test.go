package retention_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The load of one target: see the deployment "heating" of docs/design/0013.
const (
	customers    = 82
	sizeExponent = 1.2
	holders      = 6
	connections  = 56
	usualRate    = 36.0 // statements per second
	openTime     = 12 * time.Millisecond
	// roundTrip is the time on the network during which a statement holds its connection.
	roundTrip = 3 * time.Millisecond
	// inFlight is the greatest number of statements that a holder has in flight.
	inFlight = 6
	// fixedTimeout is how long a connection may be idle without the policy.
	fixedTimeout = 250 * time.Millisecond
	tick         = 50 * time.Millisecond
)

// class is a class of statements with its part of the usual rate.
type class struct {
	part          float64
	service       time.Duration
	inTransaction float64 // the part of its operations that are transactions
}

var classes = [3]class{{0.13, 6 * time.Millisecond, 0.25}, {0.64, 18 * time.Millisecond, 0}, {0.23, 30 * time.Millisecond, 0}}

const (
	transactionStatements = 3
	// thinkTime is the time between two statements of a transaction.
	thinkTime = 20 * time.Millisecond
)

type event struct {
	at  mono.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// generator sends the load of one target to its holders, in virtual time.
type generator struct {
	random  *rand.Rand
	now     mono.Time
	events  events
	holders map[topology.VMID]*holder
	names   []topology.VMID
	// sizes are the customers' parts of the load, and factors what bursts multiply the load of a class or customer by.
	sizes           [customers]float64
	classFactors    [len(classes)]float64
	customerFactors [customers]float64

	statements, opened int
}

func newGenerator(seed uint64, fixed bool) *generator {
	g := &generator{random: rand.New(rand.NewPCG(seed, 1)), holders: map[topology.VMID]*holder{}, classFactors: [...]float64{1, 1, 1}}
	sum := 0.0
	for i := range g.sizes {
		g.sizes[i], g.customerFactors[i] = math.Pow(float64(i+1), -sizeExponent), 1
		sum += g.sizes[i]
	}
	for i := range g.sizes {
		g.sizes[i] /= sum
	}
	for i := range holders {
		id := topology.VMID(fmt.Sprintf("vm-%d-%d", seed, i))
		h := &holder{g: g, fixed: fixed}
		h.policy.Places = placement.Places(holders, connections)
		h.policy.IdlePlaces = placement.IdlePlaces(i, holders, h.policy.Places)
		h.policy.Share = inFlight
		g.holders[id], g.names = h, append(g.names, id)
	}
	return g
}

func (g *generator) after(d time.Duration, run func()) {
	heap.Push(&g.events, event{g.now.Add(d), run})
}

func (g *generator) run(length time.Duration) {
	for _, start := range []func(){g.arrive, g.burst, g.flood, g.tick} {
		g.after(0, start)
	}
	for g.now < mono.Time(length) {
		e := heap.Pop(&g.events).(event)
		g.now = e.at
		e.run()
	}
}

// arrive sends a statement, or none, such that the rates are as given by the factors.
func (g *generator) arrive() {
	const peak = 10 * usualRate
	g.after(time.Duration(g.random.ExpFloat64()/peak*float64(time.Second)), g.arrive)
	u := g.random.Float64() * peak
	for i, c := range classes {
		for n, size := range g.sizes {
			u -= usualRate * c.part * size * g.classFactors[i] * g.customerFactors[n]
			if u < 0 {
				g.send(c, topology.CustomerID(fmt.Sprint(n)))
				return
			}
		}
	}
}

func (g *generator) send(c class, customer topology.CustomerID) {
	hold := roundTrip + time.Duration(g.random.ExpFloat64()*float64(c.service))
	count := 1
	if g.random.Float64() < c.inTransaction {
		count = transactionStatements
		hold = transactionStatements*hold + (transactionStatements-1)*thinkTime
	}
	g.statements += count
	g.holders[placement.ForCustomer("t", customer, g.names)[0]].add(request{customer, hold, g.now})
}

// burst raises the load of the least urgent class, then that of the most urgent one.
func (g *generator) burst() {
	g.classFactors = [...]float64{1, 1, 2.4}
	g.after(6500*time.Millisecond, func() { g.classFactors = [...]float64{1.7, 1, 1} })
	g.after(9900*time.Millisecond, func() { g.classFactors = [...]float64{1, 1, 1} })
	g.after(25*time.Second, g.burst)
}

// flood raises the load of one to three customers.
func (g *generator) flood() {
	for range 1 + g.random.IntN(3) {
		n := g.random.IntN(customers)
		g.customerFactors[n] = 5 + 2.5*g.random.Float64()
		g.after(7*time.Second, func() { g.customerFactors[n] = 1 })
	}
	g.after(20*time.Second, g.flood)
}

func (g *generator) tick() {
	for _, id := range g.names {
		g.holders[id].tick()
	}
	g.after(tick, g.tick)
}

type request struct {
	customer topology.CustomerID
	hold     time.Duration
	since    mono.Time
}

type link struct {
	customer topology.CustomerID
	idle     bool
	since    mono.Time
}

// holder serves requests as a target.Pool does: by the policy, or with a fixed idle timeout.
type holder struct {
	g       *generator
	fixed   bool
	policy  retention.Policy
	links   []*link
	waiting []request
}

// count returns the numbers of the idle and of the busy connections, of one customer unless that is empty.
func (h *holder) count(customer topology.CustomerID) (idle, busy int) {
	for _, l := range h.links {
		switch {
		case customer != "" && l.customer != customer:
		case l.idle:
			idle++
		default:
			busy++
		}
	}
	return idle, busy
}

func (h *holder) state() (retention.State, []*link) {
	s, idle := retention.State{Open: map[topology.CustomerID]int{}}, []*link(nil)
	for _, l := range h.links {
		s.Open[l.customer]++
		if l.idle {
			s.Idle, idle = append(s.Idle, retention.Connection{Customer: l.customer, Since: l.since}), append(idle, l)
		}
	}
	return s, idle
}

func (h *holder) drop(l *link) {
	h.links = slices.DeleteFunc(h.links, func(x *link) bool { return x == l })
}

func (h *holder) add(r request) {
	_, busy := h.count(r.customer)
	h.policy.Use(r.customer, busy, h.g.now)
	h.waiting = append(h.waiting, r)
	h.serve()
	h.g.after(h.policy.OpenDelay(), h.serve)
}

func (h *holder) serve() {
	for i := 0; i < len(h.waiting); i++ {
		r := h.waiting[i]
		idle, busy := h.count(r.customer)
		if _, all := h.count(""); all >= inFlight {
			return
		}
		if idle == 0 && busy > 0 && !h.fixed && h.g.now.Sub(r.since) < h.policy.OpenDelay() {
			continue
		}
		h.waiting = slices.Delete(h.waiting, i, i+1)
		i--
		if idle == 0 {
			h.open(r.customer)
			r.hold += openTime
		}
		h.use(r)
	}
}

// use runs a request on an idle connection.
func (h *holder) use(r request) {
	at := slices.IndexFunc(h.links, func(l *link) bool { return l.idle && l.customer == r.customer })
	l := h.links[at]
	l.idle = false
	h.g.after(r.hold, func() {
		l.idle, l.since = true, h.g.now
		h.serve()
		if !h.fixed {
			h.closeSurplus()
		}
	})
}

func (h *holder) open(customer topology.CustomerID) {
	h.makeRoom()
	h.policy.Opened(openTime)
	h.links = append(h.links, &link{customer: customer, idle: true, since: h.g.now})
	h.g.opened++
}

func (h *holder) makeRoom() {
	s, idle := h.state()
	switch {
	case h.fixed && len(h.links) >= inFlight:
		h.drop(slices.MinFunc(idle, func(a, b *link) int { return cmp.Compare(a.since, b.since) }))
	case len(h.links) >= h.policy.Places:
		h.drop(idle[h.policy.Lowest(s, 1, h.g.now)[0]])
	}
}

func (h *holder) tick() {
	if !h.fixed {
		h.closeSurplus()
		if s, _ := h.state(); len(h.waiting) == 0 {
			if customer, ok := h.policy.Ahead(s, h.g.now); ok {
				h.open(customer)
			}
		}
		return
	}
	_, idle := h.state()
	for _, l := range idle {
		if h.g.now.Sub(l.since) > fixedTimeout {
			h.drop(l)
		}
	}
}

func (h *holder) closeSurplus() {
	s, idle := h.state()
	for _, c := range h.policy.Surplus(s, h.g.now) {
		h.drop(idle[c.Index])
	}
}

// openedPerStatement returns the new connections per statement over several choices of holders and loads.
func openedPerStatement(fixed bool) float64 {
	opened, statements := 0, 0
	for seed := range uint64(12) {
		g := newGenerator(seed, fixed)
		g.run(time.Minute)
		opened, statements = opened+g.opened, statements+g.statements
	}
	return float64(opened) / float64(statements)
}

// Guards against connections that are closed shortly before their customers need them again: with a fixed idle timeout
// of 250 ms about every second statement of this load opens a connection, and openings took a quarter of the targets'
// work.
func TestFewStatementsOpenAConnection(t *testing.T) {
	fixed, retained := openedPerStatement(true), openedPerStatement(false)
	t.Logf("new connections per statement: %.3f with a fixed idle timeout, %.3f by demand", fixed, retained)
	if retained >= 0.2 {
		t.Errorf("%.3f new connections per statement", retained)
	}
	if fixed < 0.4 {
		t.Errorf("the load opens only %.3f connections per statement with a fixed idle timeout", fixed)
	}
}

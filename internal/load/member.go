package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// memberLoad generates the load of one member.
type memberLoad struct {
	run         *run
	profile     *Profile
	sessions    []*session
	proxies     *balancer
	idle        chan *session
	outstanding chan struct{}
	inFlight    sync.WaitGroup
	nextID      atomic.Uint64
	// prefix is the common prefix of the run's keys and session ids.
	prefix string
}

func newMemberLoad(r *run, p *Profile) *memberLoad {
	m := &memberLoad{
		run:         r,
		proxies:     newBalancer(len(p.Proxies)),
		profile:     p,
		outstanding: make(chan struct{}, p.MaxOutstanding),
		idle:        make(chan *session, p.sessionCount()),
		prefix:      r.id + "-",
	}
	for _, g := range p.Sessions {
		for range g.Count {
			n := len(m.sessions)
			s := newSession(p, m.proxies, m.prefix+p.Member+"-"+strconv.Itoa(n), g, uint64(n)+1)
			m.sessions = append(m.sessions, s)
			m.idle <- s
		}
	}
	return m
}

// offer runs an arrival process for each class until ctx ends and waits for the
// outstanding requests.
func (m *memberLoad) offer(ctx context.Context) {
	var arrivals sync.WaitGroup
	for n, c := range m.profile.Classes {
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			m.generateArrivals(ctx, c, rand.New(rand.NewPCG(m.profile.Seed, arrivalStream+uint64(n))))
		}()
	}
	arrivals.Wait()
	m.inFlight.Wait()
}

// arrivalStream is the first random stream of the arrivals; the sessions use the
// streams below it.
const arrivalStream = 1 << 32

// generateArrivals is an open loop: an arrival does not wait for earlier answers,
// and the latency of a late one is still measured from when it was due.
func (m *memberLoad) generateArrivals(ctx context.Context, c ClassLoad, rng *rand.Rand) {
	rate := c.Rate * m.profile.Multiplier
	if rate <= 0 {
		return
	}
	due := m.run.elapsed()
	for {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if !sleepUntil(ctx, m.run.elapsed, due) {
			return
		}
		op := pickOperation(c.Operations, rng)
		select {
		case m.outstanding <- struct{}{}:
			m.inFlight.Add(1)
			go m.handleArrival(c, op, due)
		default:
			m.run.stats.overrun(classKey{m.profile.Member, c.Name}, due)
		}
	}
}

// pickOperation chooses a random operation by weight.
func pickOperation(weights map[Operation]float64, rng *rand.Rand) Operation {
	ops := make([]Operation, 0, len(weights))
	sum := 0.0
	for op, weight := range weights {
		ops = append(ops, op)
		sum += weight
	}
	slices.Sort(ops) // The order of a map is random; a sorted list makes the choice depend on the seed only.
	at := rng.Float64() * sum
	for _, op := range ops {
		if at -= weights[op]; at < 0 {
			return op
		}
	}
	return ops[len(ops)-1]
}

// handleArrival runs one request on the session that has been idle longest.
func (m *memberLoad) handleArrival(c ClassLoad, op Operation, due time.Duration) {
	defer m.inFlight.Done()
	defer func() { <-m.outstanding }()
	s := <-m.idle
	defer func() { m.idle <- s }()
	r := m.newRecord(s, c, op, due)
	m.send(s, c, r)
	if op == PutOwn && r.Outcome == Completed && s.rng.Float64() < c.ReadBackShare {
		m.readOwnWrite(s, c.ReadBack, r.Key)
	}
}

// readOwnWrite reads a key that the session has just written.
func (m *memberLoad) readOwnWrite(s *session, class, key string) {
	c := ClassLoad{Name: class}
	r := m.newRecord(s, c, GetOwn, m.run.elapsed())
	r.Key = key
	r.Group, _ = m.run.o.Config.GroupOf(m.profile.Service, key)
	m.send(s, c, r)
}

func (m *memberLoad) send(s *session, c ClassLoad, r *Record) {
	s.send(r, c, m.run.elapsed)
	m.run.history.Add(*r)
	m.run.stats.add(r)
}

func (m *memberLoad) newRecord(s *session, c ClassLoad, op Operation, due time.Duration) *Record {
	class, _ := m.run.o.Config.Class(m.profile.Service, c.Name)
	r := &Record{
		ID:        m.nextID.Add(1),
		Member:    m.profile.Member,
		Class:     c.Name,
		Session:   s.id,
		Mode:      s.group.Mode,
		Operation: op,
		Intended:  due,
		Strict:    class.Kind == config.Read && class.Staleness == 0,
		Waits:     class.AckWaitsForReplica,
	}
	r.Key, r.Value = m.keyAndValue(s, r)
	r.Group, _ = m.run.o.Config.GroupOf(m.profile.Service, r.Key)
	if class.Kind == config.Write && !class.Repeatable {
		r.RequestID = m.prefix + m.profile.Member + "-" + strconv.FormatUint(r.ID, 10)
	}
	return r
}

// keyAndValue chooses the key and, for a write, the value. Only the session itself
// writes its own keys, with increasing values; the values of shared keys are
// unique in the run.
func (m *memberLoad) keyAndValue(s *session, r *Record) (key string, value int64) {
	switch r.Operation {
	case PutOwn, GetOwn:
		key = s.id + "-own-" + endedKey(s.rng.IntN(m.profile.OwnKeys))
		if r.Operation == PutOwn {
			s.lastOwn++
			value = s.lastOwn
		}
		return key, value
	case Add:
		return m.counterKey(s.rng.IntN(m.profile.Counters)), 1
	case Insert:
		return m.prefix + m.profile.Member + "-row-" + strconv.FormatUint(r.ID, 10), int64(r.ID)
	}
	key = m.prefix + m.profile.Member + "-shared-" + endedKey(s.rng.IntN(m.profile.SharedKeys))
	if r.Operation == PutShared {
		value = int64(r.ID)
	}
	return key, value
}

// keyEnds are ends of keys. They have no characters that LIKE takes for a pattern.
var keyEnds = []string{"", " ", "'", "\t", "  é"}

// endedKey returns the number of a key with an end that a codec or a quotation may lose.
func endedKey(n int) string { return strconv.Itoa(n) + keyEnds[n%len(keyEnds)] }

func (m *memberLoad) counterKey(n int) string {
	return m.prefix + m.profile.Member + "-counter-" + strconv.Itoa(n)
}

func (m *memberLoad) close() {
	for _, s := range m.sessions {
		s.close()
	}
}

// describe returns the name of the load for messages.
func (m *memberLoad) describe() string {
	return fmt.Sprintf("%s/%s", m.profile.Member, m.profile.Service)
}

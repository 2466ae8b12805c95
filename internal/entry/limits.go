package entry

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// hopsPerVM bounds the concurrent requests to one pooler. Each holds a
	// connection and two goroutines at both ends; without a bound, a pooler that
	// hangs would accumulate the requests of all sessions.
	hopsPerVM = 4096
	// limitRetry is the delay after which a request that was refused by one of
	// these limits may be retried.
	limitRetry = 100 * time.Millisecond
	// answerTimeout bounds the writing of an answer. A caller that does not read
	// its answer occupies no resources at a target, but the answer stays in this
	// daemon's memory.
	answerTimeout = 30 * time.Second
)

// counter counts items in use by key. The zero value is ready for use. It is safe
// for concurrent use.
type counter[K comparable] struct {
	mu     sync.Mutex
	counts map[K]int
}

// take increments the key's count and returns true, unless the count has reached
// the limit.
func (c *counter[K]) take(key K, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[key] >= limit {
		return false
	}
	if c.counts == nil {
		c.counts = map[K]int{}
	}
	c.counts[key]++
	return true
}

func (c *counter[K]) give(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[key]--; c.counts[key] <= 0 {
		delete(c.counts, key)
	}
}

// loads counts the sessions, requests and hops in use and enforces their limits, so
// that one member cannot use up a daemon that all members share.
type loads struct {
	sessions counter[string] // by member
	requests counter[string] // by member
	hops     counter[topology.VMID]
}

// takeSession counts a session of the member, or refuses it at the member's limit.
func (l *loads) takeSession(conf *config.View, member string) *result.Error {
	m, _ := conf.Member(member)
	if !l.sessions.take(member, m.MaxSessions) {
		return result.New(result.TooManySessions, "member %s has %d", member, m.MaxSessions).After(comeBack)
	}
	return nil
}

// takeRequest counts a request of the session's member, or refuses it without a wait
// at the member's limit. Requests within open transactions are exempt: the targets'
// connections bound their number, and refusing one would abort its transaction.
func (s *caller) takeRequest() (give func(), failure *result.Error) {
	if s.tx != nil {
		return func() {}, nil
	}
	member := s.options.member
	m, _ := s.server.o.View.Config().Member(member)
	if !s.server.loads.requests.take(member, m.MaxRequests) {
		return nil, result.New(result.MemberLimit, "%s has %d requests under way", member, m.MaxRequests).After(limitRetry)
	}
	return func() { s.server.loads.requests.give(member) }, nil
}

// takeHop counts a hop to the VM, or refuses it at hopsPerVM.
func (l *loads) takeHop(vm topology.VMID) *result.Error {
	if !l.hops.take(vm, hopsPerVM) {
		return result.New(result.TooManyInFlight, "%s has %d", vm, hopsPerVM).After(limitRetry)
	}
	return nil
}

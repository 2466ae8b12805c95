package entry

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// maxHopsPerVM bounds the concurrent requests to one pooler. Each holds a
	// connection and two goroutines at both ends; without a bound, a pooler that
	// hangs would accumulate the requests of all sessions.
	maxHopsPerVM = 4096
	// limitRetryAfter is the delay after which a request that was refused by one of
	// these limits may be retried.
	limitRetryAfter = 100 * time.Millisecond
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

// acquire increments the key's count and returns true, unless the count has reached
// the limit.
func (c *counter[K]) acquire(key K, limit int) bool {
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

func (c *counter[K]) release(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[key]--; c.counts[key] <= 0 {
		delete(c.counts, key)
	}
}

// limiter counts the sessions, requests and hops in use and enforces their limits, so
// that one member cannot use up a daemon that all members share.
type limiter struct {
	sessions counter[string] // by member
	requests counter[string] // by member
	hops     counter[topology.VMID]
}

// acquireSession counts a session of the member, or refuses it at the member's limit.
func (l *limiter) acquireSession(conf *config.View, member string) *result.Error {
	m, _ := conf.Member(member)
	if !l.sessions.acquire(member, m.MaxSessions) {
		return result.New(result.TooManySessions, "member %s has %d", member, m.MaxSessions).After(defaultRetryAfter)
	}
	return nil
}

// acquireRequest counts a request of the session's member, or refuses it without a
// wait at the member's limit. Requests within open transactions are exempt: the
// targets' connections bound their number, and refusing one would abort its
// transaction.
func (s *callerSession) acquireRequest() (release func(), failure *result.Error) {
	if s.tx != nil {
		return func() {}, nil
	}
	member := s.options.member
	m, _ := s.server.o.View.Config().Member(member)
	if !s.server.limiter.requests.acquire(member, m.MaxRequests) {
		return nil, result.New(result.MemberLimit, "%s has %d requests under way", member, m.MaxRequests).After(limitRetryAfter)
	}
	return func() { s.server.limiter.requests.release(member) }, nil
}

// acquireHop counts a hop to the VM, or refuses it at maxHopsPerVM.
func (l *limiter) acquireHop(vm topology.VMID) *result.Error {
	if !l.hops.acquire(vm, maxHopsPerVM) {
		return result.New(result.TooManyInFlight, "%s has %d", vm, maxHopsPerVM).After(limitRetryAfter)
	}
	return nil
}

package entry

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// hopsPerVM bounds the requests under way to one pooler. Each holds a
	// connection and two goroutines at both ends; a pooler that hangs would
	// otherwise collect every request of every session.
	hopsPerVM = 4096
	// limitRetry is when a request refused by these limits may come again.
	limitRetry = 100 * time.Millisecond
	// answerTimeout bounds the writing of an answer. A caller that does not read
	// holds nothing at a target, but its answer is kept here.
	answerTimeout = 30 * time.Second
)

// counter counts what is under way by some name. The zero value is ready. Safe
// for concurrent use.
type counter[K comparable] struct {
	mu     sync.Mutex
	counts map[K]int
}

// take counts one more unless there are limit of them already.
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

// loads is what the daemon has taken on. Its limits keep one member's crowd from
// taking all of a daemon that every member shares.
type loads struct {
	sessions counter[string] // by member
	requests counter[string] // by member
	hops     counter[topology.VMID]
}

// takeSession refuses a member's session beyond its limit.
func (l *loads) takeSession(conf *config.View, member string) *result.Error {
	m, _ := conf.Member(member)
	if !l.sessions.take(member, m.MaxSessions) {
		return result.New(result.TooManySessions, "member %s has %d", member, m.MaxSessions).After(comeBack)
	}
	return nil
}

// takeRequest refuses a member's request beyond its limit, at once. Requests of
// open transactions pass: their number is bounded by the targets' connections,
// and refusing one would cut its transaction.
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

// takeHop refuses a hop to a VM that has too many under way.
func (l *loads) takeHop(vm topology.VMID) *result.Error {
	if !l.hops.take(vm, hopsPerVM) {
		return result.New(result.TooManyInFlight, "%s has %d", vm, hopsPerVM).After(limitRetry)
	}
	return nil
}

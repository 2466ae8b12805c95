package pooler

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// requestCounter counts the requests of one target that were accepted and not yet answered,
// and refuses new ones while paused.
type requestCounter struct {
	mu      sync.Mutex
	running int
	paused  bool
}

func (c *requestCounter) admit(inTransaction bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused && !inTransaction {
		return false
	}
	c.running++
	return true
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func (c *requestCounter) pause(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
}

func (c *requestCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// leavingRetry is the delay after which a request refused by a leaving target may be
// retried; by then its entry has the newer configuration or group row.
const leavingRetry = 50 * time.Millisecond

// admit accepts a request, or refuses it before anything of it has run. A leaving
// replica accepts no new requests, which an entry with an older configuration may
// still send, and a primary accepts none while it is drained. Requests of an open
// transaction are accepted; otherwise the transaction would be aborted.
func (p *Pooler) admit(tp *targetPool, req *peerpb.ExecuteRequest) *result.Error {
	t, _ := p.o.Directory.Target(tp.target.ID)
	replicaLeaves := t.Leaving && req.Term == 0 && !req.InTransaction
	if replicaLeaves || !tp.requestCounter.admit(req.InTransaction) {
		return result.New(result.Leaving, "target %s", req.Target).After(leavingRetry)
	}
	return nil
}

// SetPaused sets whether new requests to the target are refused with Leaving. While they
// are, accepted requests and open transactions run to their end.
func (p *Pooler) SetPaused(id topology.TargetID, paused bool) {
	if tp, failure := p.pool(id); failure == nil {
		tp.requestCounter.pause(paused)
	}
}

// Running returns the number of the target's in-flight requests plus that of its open
// transactions.
func (p *Pooler) Running(id topology.TargetID) int {
	tp, failure := p.pool(id)
	if failure != nil {
		return 0
	}
	return tp.requestCounter.count() + tp.openTransactions()
}

// RunningAll returns the sum of Running over all targets.
func (p *Pooler) RunningAll() int {
	n := 0
	for _, tp := range p.targetPools() {
		n += tp.requestCounter.count() + tp.openTransactions()
	}
	return n
}

// CloseIdle closes the connections that no request or transaction uses. They count
// towards the target's connection limit, which the VM that takes the target over
// needs.
func (p *Pooler) CloseIdle() {
	for _, tp := range p.targetPools() {
		tp.closeAll()
	}
}

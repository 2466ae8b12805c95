package pooler

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// work counts the requests of one target that were taken and not yet answered.
type work struct {
	mu      sync.Mutex
	running int
	paused  bool
}

func (w *work) begin(inTransaction bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused && !inTransaction {
		return false
	}
	w.running++
	return true
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *work) pause(paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = paused
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// leavingRetry is when a request refused by a leaving target may come again: the
// caller's entry has the newer configuration or group row by then.
const leavingRetry = 50 * time.Millisecond

// begin takes a request in, or refuses it before anything of it ran: a leaving
// replica takes nothing new though an entry with an older configuration sends
// it, and a primary nothing while it is drained. What a transaction has begun
// goes on, or it would be cut.
func (p *Pooler) begin(tp *targetPool, req *peerpb.ExecuteRequest) *result.Error {
	t, _ := p.o.Directory.Target(tp.target.ID)
	replicaLeaves := t.Leaving && req.Term == 0 && !req.InTransaction
	if replicaLeaves || !tp.work.begin(req.InTransaction) {
		return result.New(result.Leaving, "target %s", req.Target).After(leavingRetry)
	}
	return nil
}

// Pause has the target's new requests refused with Leaving, so that those taken
// before and open transactions come to their end; or takes new ones again.
func (p *Pooler) Pause(id topology.TargetID, paused bool) {
	if tp, failure := p.pool(id); failure == nil {
		tp.work.pause(paused)
	}
}

// Running counts the target's requests under way and its open transactions.
func (p *Pooler) Running(id topology.TargetID) int {
	tp, failure := p.pool(id)
	if failure != nil {
		return 0
	}
	return tp.work.count() + tp.openTransactions()
}

// RunningAll counts them for all targets.
func (p *Pooler) RunningAll() int {
	n := 0
	for _, tp := range p.all() {
		n += tp.work.count() + tp.openTransactions()
	}
	return n
}

// CloseIdle closes the connections that nothing uses: the VM that takes a target
// over needs their places within the target's limit.
func (p *Pooler) CloseIdle() {
	for _, tp := range p.all() {
		tp.closeAll()
	}
}

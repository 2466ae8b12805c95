package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// silentAfter is how long an exchange lasts before its target is asked, on a
	// new connection, whether it still works on it.
	silentAfter = 500 * time.Millisecond
	// silentLook is the time between the two looks: an answer that is on its way
	// at the first has come by the second.
	silentLook = 100 * time.Millisecond
)

// findSilent finds exchanges whose connection something between the two ends has
// lost track of. The target answers on a new connection and runs nothing for the
// old one, yet no answer has come: it never will. The caller is told at once
// instead of at its deadline, which may be minutes away. A target that does not
// answer is left to the failure detector, and a slow statement to its deadline.
func (p *Pooler) findSilent(now time.Time) {
	for _, f := range p.flights.list() {
		if target, ok := f.beginCheck(now); ok {
			go p.checkSilent(f, target)
		}
	}
}

// discardLost closes a connection whose answer did not come, and has its target
// end it too. Where the path between went silent the target hears nothing of the
// close: the transaction would keep its locks, and whoever asks for its outcome
// would wait for them.
func (p *Pooler) discardLost(tp *targetPool, c *conn, failure *result.Error) {
	tp.discard(c)
	if failure.Code != result.TargetSilent {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		if err := tp.control.terminate(ctx, c); err != nil {
			p.o.Log.Info("event=terminate_failed", "target", tp.target.ID, "error", err)
		}
	}()
}

// exchangeOf is what a check is about.
type exchangeOf struct {
	conn    *conn
	target  topology.TargetID
	address string
}

func (f *flight) beginCheck(now time.Time) (exchangeOf, bool) {
	if !f.mu.TryLock() {
		return exchangeOf{}, false // A cancel request is on its way.
	}
	defer f.mu.Unlock()
	if f.conn == nil || f.checking || now.Sub(f.since) < silentAfter {
		return exchangeOf{}, false
	}
	f.checking = true
	return exchangeOf{conn: f.conn, target: f.target, address: f.address}, true
}

func (p *Pooler) checkSilent(f *flight, e exchangeOf) {
	idle := p.idleAtTarget(e)
	if idle {
		time.Sleep(silentLook)
		idle = p.idleAtTarget(e)
	}
	f.endCheck(e.conn, idle)
	if idle {
		p.o.Log.Info("event=silent_connection", "target", e.target)
	}
}

// idleAtTarget asks on a new connection.
func (p *Pooler) idleAtTarget(e exchangeOf) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	s, _, err := Probe(ctx, p.o.Dialer, e.address)
	if err != nil {
		p.evidence.Doubted(e.target)
		return false
	}
	return s.Active != nil && !s.Active[e.conn.pid]
}

func (f *flight) endCheck(c *conn, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checking = false
	f.since = time.Now()
	if silent && f.conn == c {
		_ = c.net.SetDeadline(time.Now())
	}
}

package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// silenceThreshold is how long an exchange lasts before its target is asked, on a
	// new connection, whether it is still running the statement.
	silenceThreshold = 500 * time.Millisecond
	// silenceRecheckDelay is the time between the two checks. An answer in transit at
	// the first has arrived by the second.
	silenceRecheckDelay = 100 * time.Millisecond
)

// findSilent checks for exchanges whose connection state was lost between the two
// ends, by a firewall or NAT for example. If the target answers on a new connection
// and runs no statement for the old one, an answer that has not arrived never will.
// The caller is told at once instead of at its deadline, which may be minutes away. A
// target that does not answer is left to the failure detector, and a slow statement to
// its deadline.
func (p *Pooler) findSilent(now time.Time) {
	for _, f := range p.inFlightRequests.list() {
		if target, ok := f.beginCheck(now); ok {
			go p.checkSilent(f, target)
		}
	}
}

// discardLost closes a connection whose answer did not arrive, and has its target
// close it too. If the network path is broken, the target does not receive the close;
// the transaction would keep its locks, and a request that asks for its outcome would
// wait for them.
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

// exchangeRef identifies the exchange that a check is about.
type exchangeRef struct {
	conn    *conn
	target  topology.TargetID
	address string
}

func (f *inFlightRequest) beginCheck(now time.Time) (exchangeRef, bool) {
	if !f.mu.TryLock() {
		return exchangeRef{}, false // A cancel request is being delivered.
	}
	defer f.mu.Unlock()
	if f.conn == nil || f.checking || now.Sub(f.since) < silenceThreshold {
		return exchangeRef{}, false
	}
	f.checking = true
	return exchangeRef{conn: f.conn, target: f.target, address: f.address}, true
}

func (p *Pooler) checkSilent(f *inFlightRequest, e exchangeRef) {
	idle := p.idleAtTarget(e)
	if idle {
		time.Sleep(silenceRecheckDelay)
		idle = p.idleAtTarget(e)
	}
	f.endCheck(e.conn, idle)
	if idle {
		p.o.Log.Info("event=silent_connection", "target", e.target)
	}
}

// idleAtTarget reports whether the target, queried on a new connection, runs no
// statement on the exchange's connection. It is false if the target does not answer.
func (p *Pooler) idleAtTarget(e exchangeRef) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	s, _, err := Probe(ctx, p.o.Dialer, e.address)
	if err != nil {
		p.evidence.Suspected(e.target)
		return false
	}
	return s.Active != nil && !s.Active[e.conn.pid]
}

func (f *inFlightRequest) endCheck(c *conn, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checking = false
	f.since = time.Now()
	if silent && f.conn == c {
		_ = c.net.SetDeadline(time.Now())
	}
}

package target

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// grow opens connections for waiting requests, within this VM's limit.
func (p *Pool) grow() {
	p.grantInTurn()
	if p.waiting.Len() == 0 || p.closed || p.clock.Now().Before(p.noDialUntil) {
		return
	}
	if !p.slotFree() {
		return
	}
	for _, r := range p.requestsWithoutDial() {
		if !p.mayDialFor(&r) {
			continue
		}
		if !p.makeRoom() {
			return
		}
		p.startDial(r.Customer)
	}
}

// startDial starts to open a connection for a customer's requests.
func (p *Pool) startDial(customer topology.CustomerID) {
	s := p.subpoolOf(customer)
	p.resting.Store(false)
	p.dialing[s]++
	go p.dial(customer, s)
}

func (p *Pool) dialEnded(s subpool) {
	p.dialing[s]--
	if p.dialing[s] == 0 {
		delete(p.dialing, s)
	}
}

// connectionLimit returns the limit of this VM's open connections.
func (p *Pool) connectionLimit() int {
	if p.retention != nil && !p.clock.Now().Before(p.shareLimitUntil) {
		return max(p.retention.policy.Places, p.shareLimit())
	}
	return p.shareLimit()
}

// shareLimit returns the limit of this VM's open connections unless they are retained by demand:
// its share, plus up to maxExtraLinks for connections that are idle in transactions, since the
// target's slots would otherwise be unused while requests wait. While another VM is starved it is
// the share alone: under load the VMs that connected first would otherwise keep all connections,
// and callers of the others would be refused for as long as the load lasts.
func (p *Pool) shareLimit() int {
	if p.clock.Now().Before(p.shareLimitUntil) {
		return p.share
	}
	idleInTransaction := 0
	for l := range p.links {
		if l.inTransaction && l.sentAt == 0 {
			idleInTransaction++
		}
	}
	return p.share + min(idleInTransaction, maxExtraLinks)
}

func (p *Pool) dial(customer topology.CustomerID, s subpool) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	begun := p.clock.Now()
	conn, err := p.driver.Dial(ctx, p.target, customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.grantInTurn()
	p.dialEnded(s)
	now := p.clock.Now()
	if err != nil {
		p.dialFailed(begun, now, err)
		return
	}
	if evidence := evidenceOf(conn); evidence.Direct {
		p.health.succeeded(now)
	} else {
		p.health.noteEvidence(evidence, begun, now)
	}
	if p.closed || p.discardProbe(now) {
		conn.Close()
		return
	}
	l := &Link{pool: p, conn: conn, customer: customer, indirect: leadsToHolder(conn), subpool: s, releasedAt: now}
	p.links[l] = true
	p.noteOpened(l, now.Sub(begun))
	p.assign(l)
	p.grow()
}

// failingProbePause is the time between two probes of a target through holders that report it as
// failing: one renewal interval, at which the VM reports to the coordinator.
const failingProbePause = 250 * time.Millisecond

// discardProbe reports whether a new connection to a holder has only shown that the target still
// fails, and no request waits for it. The caller then closes it, and the next probe waits for
// failingProbePause: if such connections were kept, each VM would add one per tick for as long as
// the target fails.
func (p *Pool) discardProbe(now mono.Time) bool {
	if !p.health.failing() || p.waiting.Len() > 0 {
		return false
	}
	p.noProbeUntil = now.Add(failingProbePause)
	return true
}

// dialFailed handles a failed dial, and refuses all waiting requests if there is no other
// connection. A dial that times out while other connections are answered shows that the
// target is full, not that it has failed: otherwise a primary would be replaced because of
// its load.
func (p *Pool) dialFailed(begun, now mono.Time, err error) {
	e := dialError(err, string(p.target.ID))
	pause := dialFailedPause
	switch e.Code {
	case result.ConnectionsInUse:
		pause = connectionsInUsePause
		if len(p.links) < p.share {
			p.starvedUntil = now.Add(starvedFor)
		}
		p.noteRefused(now)
	case result.WrongTarget:
		pause = wrongTargetPause
		fallthrough
	default:
		if p.health.lastAnswer < begun {
			p.health.failed(now)
		}
		p.log.Info("event=dial_failed", "target", p.target.ID, "address", p.target.Address, "links", len(p.links),
			"waiting", p.waiting.Len(), "failing_for", p.health.failingFor(now), "error", err)
	}
	p.noDialUntil = now.Add(pause)
	if len(p.links) > 0 || len(p.dialing) > 0 {
		return
	}
	p.refuseAll(e)
}

// probe opens a new connection to find out whether the target is alive.
func (p *Pool) probe() {
	if len(p.dialing) == 0 && !p.closed {
		p.startDial("")
	}
}

// Warm opens a first connection in advance: the first requests to a target that becomes the
// primary would otherwise wait for one. It opens none through another VM: such a connection is
// cheap to open on demand, and keeping one to each target would cost holders one from each VM.
func (p *Pool) Warm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.indirect && len(p.links) == 0 && !p.clock.Now().Before(p.noDialUntil) {
		p.probe()
	}
}

package failover

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// pingTimeout bounds a ping on the connection that an earlier probe left open.
const pingTimeout = 100 * time.Millisecond

// probeConn is the connection that a watched target's last probe left open. While it
// answers, no new one is needed: opening one costs ten times as much, at both ends.
type probeConn struct {
	control *pooler.Control // nil while a probe uses it, and before the first probe
}

// watch makes the detector watch a primary.
func (d *Driver) watch(t topology.TargetID, now mono.Time) {
	d.detector.Watch(t, now)
	if d.probeConns[t] == nil {
		d.probeConns[t] = &probeConn{}
	}
}

// unwatchOthers stops the probes of targets that are no longer the primary of one of
// this VM's groups. Failure: a VM that was assigned a whole data centre's targets for
// a moment probes them from then on.
func (d *Driver) unwatchOthers() {
	primaries := map[topology.TargetID]bool{}
	for id := range d.assignments {
		if row := d.o.Directory.Group(id); row != nil {
			primaries[row.Primary] = true
		}
	}
	for t, p := range d.probeConns {
		if primaries[t] {
			continue
		}
		if p.control != nil {
			go p.control.Close()
		}
		d.detector.Forget(t)
		delete(d.probeConns, t)
		delete(d.health, t)
	}
}

// takeConn removes and returns the target's open connection, or nil if there is
// none or a probe uses it.
func (d *Driver) takeConn(t topology.TargetID) *pooler.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.probeConns[t]
	if p == nil {
		return nil
	}
	c := p.control
	p.control = nil
	return c
}

// keepConn keeps a connection that answered for the next probe.
func (d *Driver) keepConn(t topology.TargetID, c *pooler.Control) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.probeConns[t]; p != nil && p.control == nil {
		p.control = c
		return
	}
	go c.Close()
}

// probe checks whether a target is alive, on a new connection unless the last
// probe's connection still answers. Probes that start while that one is in use open
// new ones, so a silent connection doesn't delay the detection of a failure.
func (d *Driver) probe(ctx context.Context, a authority.Probe) {
	if d.ping(ctx, a.Target) {
		return
	}
	t, ok := d.o.Directory.Target(a.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	sent := d.o.Clock.Now()
	c, err := pooler.OpenProbe(ctx, d.o.Dialer, t.Address)
	if err == nil {
		d.keepConn(a.Target, c)
	}
	d.withLock(func(now mono.Time) { d.detector.ObserveProbe(a.Target, probeOutcome(err), sent, now) })
}

func (d *Driver) ping(ctx context.Context, t topology.TargetID) bool {
	c := d.takeConn(t)
	if c == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := d.o.Clock.Now()
	if err := c.Ping(ctx); err != nil {
		c.Close()
		return false
	}
	d.keepConn(t, c)
	d.withLock(func(now mono.Time) { d.detector.ObserveAnswer(t, now.Sub(sent), now) })
	return true
}

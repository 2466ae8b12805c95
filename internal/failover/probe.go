package failover

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// pingTimeout of a question on a connection that an earlier probe left open.
const pingTimeout = 100 * time.Millisecond

// kept is the connection of a watched target's last probe. While it answers, no
// new one is needed: opening costs ten times as much, at both ends.
type kept struct {
	control *pooler.Control // nil while a probe uses it, and before the first
}

// watch has the detector look after a primary.
func (d *Driver) watch(t topology.TargetID, now mono.Time) {
	d.detector.Watch(t, now)
	if d.watching[t] == nil {
		d.watching[t] = &kept{}
	}
}

// forgetOthers ends the probes of targets that are no primary of this VM's groups
// any more. Failure: a VM that had a whole data centre's targets for a moment
// probes them for ever after.
func (d *Driver) forgetOthers() {
	primaries := map[topology.TargetID]bool{}
	for id := range d.parts {
		if row := d.o.Directory.Group(id); row != nil {
			primaries[row.Primary] = true
		}
	}
	for t, k := range d.watching {
		if primaries[t] {
			continue
		}
		if k.control != nil {
			go k.control.Close()
		}
		d.detector.Forget(t)
		delete(d.watching, t)
		delete(d.health, t)
	}
}

// take returns the target's kept connection, if nobody else uses it.
func (d *Driver) take(t topology.TargetID) *pooler.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.watching[t]
	if k == nil {
		return nil
	}
	c := k.control
	k.control = nil
	return c
}

// keep puts a connection back that answered.
func (d *Driver) keep(t topology.TargetID, c *pooler.Control) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := d.watching[t]; k != nil && k.control == nil {
		k.control = c
		return
	}
	go c.Close()
}

// probe asks a target whether it lives, on a new connection unless the last
// probe's still answers. Probes that come while that one is waited for open new
// ones, so a silent connection delays no verdict.
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
		d.keep(a.Target, c)
	}
	d.locked(func(now mono.Time) { d.detector.ObserveProbe(a.Target, probeOutcome(err), sent, now) })
}

func (d *Driver) ping(ctx context.Context, t topology.TargetID) bool {
	c := d.take(t)
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
	d.keep(t, c)
	d.locked(func(now mono.Time) { d.detector.ObserveAnswer(t, now.Sub(sent), now) })
	return true
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale-cut"] = staleCut }

const (
	// stalePromote is how long a promote takes: that of the sheet of permessi-prod.
	stalePromote = time.Second
	// zoneCutLength is how long a zone is cut off.
	zoneCutLength = 6400 * time.Millisecond
	// maxStaleness is max_staleness_ms of the routes.
	maxStaleness = 1500 * time.Millisecond
	// maxReleases is how often a primary is replaced until the candidate is in another zone than the coordinator.
	maxReleases = 5
)

// counter is the key that is written with ascending numbers, and what was acknowledged of it.
type counter struct {
	mu    sync.Mutex
	acked []ackedNumber
	stale int
	reads int
}

type ackedNumber struct {
	number int
	at     time.Time
}

// newestBefore returns the greatest number that was acknowledged before a moment.
func (c *counter) newestBefore(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.acked) - 1; i >= 0; i-- {
		if c.acked[i].at.Before(at) {
			return c.acked[i].number
		}
	}
	return 0
}

// write writes ascending numbers through a gateway until stop is closed.
func (c *counter) write(b *bed, pick func() *gateway, stop <-chan struct{}) {
	var s *client
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(writePause):
		}
		if s == nil {
			var err error
			if s, err = dial(b.group, pick().caller, hostOf("primary")); err != nil {
				s = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		a, err := s.query(fmt.Sprintf("WRITE counter %d", n))
		if err != nil || a.result != "DONE" {
			s.conn.Close()
			s = nil
			continue
		}
		c.mu.Lock()
		c.acked = append(c.acked, ackedNumber{n, time.Now()})
		c.mu.Unlock()
	}
}

// read reads the number through a gateway until stop is closed, and checks that it is not too old.
func (c *counter) read(b *bed, g *gateway, stop <-chan struct{}) {
	var s *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if s == nil {
			var err error
			if s, err = dial(b.group, g.caller, hostOf("bounded_staleness")); err != nil {
				s = nil
				continue
			}
		}
		begun := time.Now()
		wanted := c.newestBefore(begun.Add(-maxStaleness))
		a, err := s.query("READ counter")
		if err != nil {
			s.conn.Close()
			s = nil
			continue
		}
		if a.result != "DONE" || len(a.rows) != 1 {
			continue
		}
		seen := 0
		_, _ = fmt.Sscan(a.rows[0], &seen)
		c.check(b, g, seen, wanted)
	}
}

func (c *counter) check(b *bed, g *gateway, seen, wanted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	if seen >= wanted {
		return
	}
	c.stale++
	if c.stale <= maxShown {
		b.record.logf("BROKEN STALE: %s answers %d, but %d was acknowledged more than %v before the read", g.name, seen, wanted, maxStaleness)
	}
}

// staleCut cuts the zone of the coordinator off while the primary is replaced as planned. The machines in the zone go
// on serving reads of a replica there, after another machine has completed the replacement.
func staleCut(b *bed) (bool, error) {
	b.group.promotionDelay = stalePromote
	if err := b.connect(); err != nil {
		return false, err
	}
	if err := b.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	c := &counter{}
	var mu sync.Mutex
	cutZone := ""
	outside := func() *gateway {
		mu.Lock()
		defer mu.Unlock()
		for _, g := range b.gateways {
			if g.zone != cutZone {
				return g
			}
		}
		return b.gateways[0]
	}
	go c.write(b, outside, stop)
	for _, g := range b.gateways {
		go c.read(b, g, stop)
	}
	time.Sleep(3 * time.Second)
	for i := range maxReleases {
		ordered, coordinator, err := b.orderedRelease(fmt.Sprintf("i-%d", 4+i), ip(databaseAddress, 4+i))
		if err != nil {
			return false, err
		}
		if ordered.zone == coordinator.zone || !b.hasReplica(coordinator.zone, ordered) {
			b.record.logf("no use: %s in %s is promoted by %s", ordered.id, ordered.zone, coordinator.name)
			if err := b.await(10*time.Second, "the primary is replaced", func() bool { return b.group.leaderNow() == ordered }); err != nil {
				return false, err
			}
			time.Sleep(5 * time.Second)
			continue
		}
		mu.Lock()
		cutZone = coordinator.zone
		mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if b.trouble {
			b.record.logf("disruption: %s is cut off", coordinator.zone)
			b.cutZone(coordinator.zone)
		}
		time.Sleep(zoneCutLength)
		if b.trouble {
			b.record.logf("the cut ends")
			b.cutZone("")
		}
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		b.record.logf("seen: %d reads, %d of them too old", c.reads, c.stale)
		return c.stale > 0, nil
	}
	return false, fmt.Errorf("%w: each candidate was in the zone of the coordinator", errCase)
}

// orderedRelease drains the primary, and returns the database that is to be promoted in its place and the gateway that
// orders it.
func (b *bed) orderedRelease(id, ip string) (*database, *gateway, error) {
	old := b.group.leaderNow()
	if err := b.group.addDatabase(id, old.zone, ip); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	b.group.mu.Lock()
	before := b.group.orders
	b.group.mu.Unlock()
	old.drain()
	time.AfterFunc(9*time.Second, old.leave)
	err := b.await(8*time.Second, "a promotion is ordered", func() bool {
		b.group.mu.Lock()
		defer b.group.mu.Unlock()
		return b.group.orders > before
	})
	if err != nil {
		return nil, nil, err
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	coordinator := b.gateway(b.group.holder)
	if coordinator == nil || b.group.ordered == nil {
		return nil, nil, errCase
	}
	return b.group.ordered, coordinator, nil
}

// hasReplica reports whether a zone has a database other than the one to be promoted.
func (b *bed) hasReplica(zone string, promoted *database) bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	for _, db := range b.group.dbs {
		if db.zone == zone && db != promoted && !db.down && !db.draining {
			return true
		}
	}
	return false
}

package main

import (
	"syscall"
	"time"
)

func init() { cases["hup-start"] = hupStart }

const (
	// hupOutage is how long the store turns the starting machines away.
	hupOutage = 9 * time.Second
	// hups is how often the settings change meanwhile, hupPause the time between two changes, and restartDelay the
	// platform's delay before it starts a process that has ended.
	hups         = 3
	hupPause     = 2 * time.Second
	restartDelay = 300 * time.Millisecond
)

// hupStart sends SIGHUP to machines that start while the store turns them away.
func hupStart(b *bed) (bool, error) {
	if err := b.start(); err != nil {
		return false, err
	}
	starting := b.gateways[:2]
	for _, g := range starting {
		b.record.logf("planned: SIGTERM to %s", g.name)
		g.signal(syscall.SIGTERM)
		g.gate.setDown(true)
	}
	for _, g := range starting {
		<-g.ended
		if err := g.start(); err != nil {
			return false, err
		}
		b.record.logf("%s starts again", g.name)
	}
	ends := map[*gateway]int{}
	for range hups {
		time.Sleep(hupPause - restartDelay)
		for _, g := range starting {
			if b.trouble {
				b.record.logf("planned: SIGHUP to %s", g.name)
				g.signal(syscall.SIGHUP)
			}
		}
		time.Sleep(restartDelay)
		for _, g := range starting {
			how, ended := g.hasEnded()
			if !ended {
				continue
			}
			ends[g]++
			b.record.logf("BROKEN: the process of %s has ended: %s", g.name, how)
			if err := g.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(hupOutage - hups*hupPause)
	for _, g := range starting {
		g.gate.setDown(false)
	}
	if err := b.await(10*time.Second, "both are ready", func() bool { return starting[0].isReady() && starting[1].isReady() }); err != nil {
		return false, err
	}
	b.record.logf("seen: the processes ended by themselves %d and %d times", ends[starting[0]], ends[starting[1]])
	return ends[starting[0]] >= hups && ends[starting[1]] >= hups, nil
}

// Package liveness probes suspect and dead VMs with heartbeats. The state of all other
// VMs follows from messages that are sent anyway.
package liveness

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// period is the time between two probes of a suspect VM.
	period = 200 * time.Millisecond
	// deadEveryPeriods is the number of periods between two probes of a dead VM, which detect
	// that a network partition has ended.
	deadEveryPeriods = 10
	// timeout bounds one probe.
	timeout = 300 * time.Millisecond
)

// Directory provides the VMs and their states.
type Directory interface {
	Self() topology.VM
	Statuses() []membership.Status
	VM(topology.VMID) (topology.VM, bool)
}

// Prober sends heartbeats to other VMs. Safe for concurrent use.
type Prober struct {
	directory Directory
	peers     *peers.Table

	mu      sync.Mutex
	probing map[topology.VMID]bool // VMs that are being probed
}

// New returns a prober.
func New(d Directory, p *peers.Table) *Prober {
	return &Prober{directory: d, peers: p, probing: map[topology.VMID]bool{}}
}

// Run probes suspect and dead VMs periodically until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		for _, s := range p.directory.Statuses() {
			if s.State == membership.Suspect || s.State == membership.Dead && n%deadEveryPeriods == 0 {
				p.Probe(ctx, s.VM.ID)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Probe probes one VM now, unless a probe of it is already running. It returns no result:
// the answer, or its absence, updates the VM's state like any other message.
func (p *Prober) Probe(ctx context.Context, id topology.VMID) {
	vm, ok := p.directory.VM(id)
	if !ok || id == p.directory.Self().ID || !p.startProbe(id) {
		return
	}
	go func() {
		defer p.endProbe(id)
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		client := p.peers.Get(vm)
		if _, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{Vm: string(p.directory.Self().ID)}); err != nil {
			// It may be only the connection that has failed: the next probe, and
			// every request, opens a new one.
			client.CloseIdle()
		}
	}()
}

func (p *Prober) startProbe(id topology.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[id] {
		return false
	}
	p.probing[id] = true
	return true
}

func (p *Prober) endProbe(id topology.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, id)
}

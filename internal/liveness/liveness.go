// Package liveness asks VMs in doubt whether they live. Everything else that is
// known of them comes from messages that go anyway.
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
	// period of the questions to suspect VMs.
	period = 200 * time.Millisecond
	// deadEvery is how many periods pass between questions to a dead VM: they
	// find out that a cut has healed.
	deadEvery = 10
	// timeout of one question.
	timeout = 300 * time.Millisecond
)

// Directory knows the states of the VMs.
type Directory interface {
	Self() topology.VM
	Statuses() []membership.Status
	VM(topology.VMID) (topology.VM, bool)
}

// Prober asks. Safe for concurrent use.
type Prober struct {
	directory Directory
	peers     *peers.Table

	mu    sync.Mutex
	asked map[topology.VMID]bool // questions under way
}

// New makes a prober.
func New(d Directory, p *peers.Table) *Prober {
	return &Prober{directory: d, peers: p, asked: map[topology.VMID]bool{}}
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		for _, s := range p.directory.Statuses() {
			if s.State == membership.Suspect || s.State == membership.Dead && n%deadEvery == 0 {
				p.Ask(ctx, s.VM.ID)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Ask asks one VM now, unless a question is under way. The answer, or its
// absence, becomes evidence by itself.
func (p *Prober) Ask(ctx context.Context, id topology.VMID) {
	vm, ok := p.directory.VM(id)
	if !ok || id == p.directory.Self().ID || !p.begin(id) {
		return
	}
	go func() {
		defer p.end(id)
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		client := p.peers.Get(vm)
		if _, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{Vm: string(p.directory.Self().ID)}); err != nil {
			// The connection may be what is silent: the next question, and every
			// request, opens a new one.
			client.CloseIdle()
		}
	}()
}

func (p *Prober) begin(id topology.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked[id] {
		return false
	}
	p.asked[id] = true
	return true
}

func (p *Prober) end(id topology.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, id)
}

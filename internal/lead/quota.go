package lead

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// allocatorVM returns the VM that collects what all VMs admit. It is the coordinator of the first
// group, so there is only one even if the groups have different coordinators.
func (l *Lead) allocatorVM() topology.VMID {
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil {
			return row.Coordinator
		}
	}
	return ""
}

// reportUsage adds what this VM admitted to a renewal if it goes to the allocator.
func (l *Lead) reportUsage(to topology.VMID, m *message) {
	if l.Limits != nil && to == l.allocatorVM() {
		m.Usage = l.Limits.Report()
	}
}

// urgentUsage returns a channel that receives when this VM's usage must be reported at once.
func (l *Lead) urgentUsage() <-chan struct{} {
	if l.Limits == nil {
		return nil
	}
	return l.Limits.Urgent()
}

// expediteUsage makes the next renewal to the allocator due now.
func (l *Lead) expediteUsage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.renewals[l.allocatorVM()]; x != nil {
		x.sent = 0
	}
}

// allocate answers a VM's usage report if this VM is the allocator.
func (l *Lead) allocate(m, answer *message, now mono.Time) {
	if l.Limits == nil {
		return
	}
	if l.allocatorVM() != l.self.ID {
		l.allocator.Reset()
		return
	}
	limits := l.Limits.Limits()
	if len(limits) == 0 {
		return
	}
	l.allocator.SetVMs(len(l.Directory.VMs()))
	near := l.allocator.RecordReport(m.From, m.Usage, limits, now)
	answer.Quota = l.allocator.Answer(m.From, m.Usage, now)
	if len(near) > 0 {
		l.warn(near)
	}
}

// warn notifies all VMs at once of customers that are close to their limits: within one renewal
// period a flood of requests could exceed the limits by far.
func (l *Lead) warn(near []quota.Tag) {
	l.Log.Info("event=customers_near_limit", "customers", l.Limits.Names(near))
	m := &message{Kind: warning, From: l.self.ID, Incarnation: l.self.Incarnation, Near: near}
	go l.sendToMany(l.vmIDs(), m)
}

func (l *Lead) handleWarning(m *message) {
	if l.Limits != nil {
		l.Limits.Near(m.Near)
	}
}

// applyQuota applies the allocator's answer.
func (l *Lead) applyQuota(m *message, sent mono.Time) {
	if l.Limits != nil && m.Quota != nil {
		l.Limits.ApplyAnswer(m.Quota, sent)
	}
}

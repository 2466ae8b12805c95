package lead

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// allocatorVM returns the VM that collects what all VMs admit: the coordinator of the first group, so
// that there is one wherever the groups' coordinators are.
func (l *Lead) allocatorVM() topology.VMID {
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil {
			return row.Coordinator
		}
	}
	return ""
}

// reportUsage adds what this VM admitted to a renewal to the allocator.
func (l *Lead) reportUsage(to topology.VMID, m *message) {
	if l.Limits != nil && to == l.allocatorVM() {
		m.Usage = l.Limits.Report()
	}
}

// urgentUsage gets a value when the allocator is to hear at once of what was admitted.
func (l *Lead) urgentUsage() <-chan struct{} {
	if l.Limits == nil {
		return nil
	}
	return l.Limits.Urgent()
}

// hurryUsage has the next renewal to the allocator be sent now.
func (l *Lead) hurryUsage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.renewals[l.allocatorVM()]; x != nil {
		x.sent = 0
	}
}

// allocate answers a VM's report, if this VM is the allocator.
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

// warn tells all VMs at once of customers that have come near their limits: in the time of a renewal a flood
// could pass them by far.
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

// takeQuota takes over the allocator's answer.
func (l *Lead) takeQuota(m *message, sent mono.Time) {
	if l.Limits != nil && m.Quota != nil {
		l.Limits.ApplyAnswer(m.Quota, sent)
	}
}

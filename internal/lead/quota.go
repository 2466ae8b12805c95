package lead

import (
	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// allocatorTerm identifies the allocator's term of office by the version of the first group's row.
type allocatorTerm struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	// Group is the hash of the group's ID. Versions of different groups can't be compared.
	Group   uint32
	Version uint64
}

// before reports whether t is an earlier term than u of the same group.
func (t allocatorTerm) before(u allocatorTerm) bool {
	return t.Group == u.Group && t.Version < u.Version
}

// termOf returns the allocator's term under a row of the first group.
func termOf(group topology.GroupID, version uint64) allocatorTerm {
	return allocatorTerm{Group: uint32(xxhash.Sum64String(string(group))), Version: version} //nolint:gosec // Truncated on purpose.
}

// allocatorRow returns the row of the first group that has one, or nil.
func (l *Lead) allocatorRow() *lease.Row {
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil {
			return row
		}
	}
	return nil
}

// allocatorVM returns the VM that collects what all VMs admit. It is the coordinator of the first
// group, so there is only one even if the groups have different coordinators.
func (l *Lead) allocatorVM() topology.VMID {
	if row := l.allocatorRow(); row != nil {
		return row.Coordinator
	}
	return ""
}

// term returns the latest allocator term whose row this VM has adopted, or nil if it knows no row.
func (l *Lead) term() *allocatorTerm {
	row := l.allocatorRow()
	if row == nil {
		return nil
	}
	t := termOf(row.Group, row.Version)
	return &t
}

// noteTerm records a later allocator term that a message names.
func (l *Lead) noteTerm(m *message) {
	row := l.allocatorRow()
	if row == nil {
		return
	}
	if m.Term != nil {
		l.noteLaterTerm(*m.Term, row)
	}
	for _, p := range m.Groups {
		if p.Group == row.Group {
			l.noteLaterTerm(termOf(p.Group, p.Version), row)
		}
	}
}

func (l *Lead) noteLaterTerm(t allocatorTerm, row *lease.Row) {
	if own := termOf(row.Group, row.Version); own.before(t) && !t.before(l.latestTerm) {
		l.latestTerm = t
	}
}

// allocates reports whether this VM is the allocator under the row and no message has named a later term.
func (l *Lead) allocates(row *lease.Row) bool {
	return row != nil && row.Coordinator == l.self.ID && !termOf(row.Group, row.Version).before(l.latestTerm)
}

// fromAllocator reports whether a message was sent by this VM's current allocator in a term that is not older than
// the adopted one. Two allocators may exist for seconds during a partition, and the one without this VM knows
// nothing of what its part of the VMs admits.
func (l *Lead) fromAllocator(m *message) bool {
	row := l.allocatorRow()
	if row != nil && m.From == row.Coordinator && (m.Term == nil || !m.Term.before(termOf(row.Group, row.Version))) {
		return true
	}
	l.Limits.Metrics.Ignored()
	return false
}

// reportUsage adds what this VM admitted to a renewal if it goes to the allocator.
func (l *Lead) reportUsage(to topology.VMID, m *message) {
	if l.Limits == nil || len(l.Limits.Limits()) == 0 {
		return
	}
	// A former allocator, which this VM may renew other groups with, must not take an empty report for no demand.
	m.Term = l.term()
	if to == l.allocatorVM() {
		m.Usage = l.Limits.Report(to)
		m.Carried = carriedOf(m.Usage)
		m.Term = l.term()
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
	l.noteTerm(m)
	row := l.allocatorRow()
	if row == nil || row.Coordinator != l.self.ID || row.Fence != l.allocatorFence {
		l.allocator.Reset()
	}
	if !l.allocates(row) {
		return
	}
	l.allocatorFence = row.Fence
	applyCarried(m.Usage, m.Carried)
	limits := l.Limits.Limits()
	if len(limits) == 0 {
		return
	}
	l.allocator.SetVMs(len(l.Directory.VMs()))
	near := l.allocator.RecordReport(m.From, m.Usage, limits, now)
	answer.Quota, answer.Term = l.allocator.Answer(m.From, m.Usage, now), l.term()
	answer.Fractions = fractionsOf(answer.Quota.Shares)
	if len(near) > 0 {
		l.warn(near)
	}
}

// warn notifies all VMs at once of customers that are close to their limits: within one renewal
// period a flood of requests could exceed the limits by far.
func (l *Lead) warn(near []quota.Tag) {
	l.Log.Info("event=customers_near_limit", "customers", l.Limits.Names(near))
	m := &message{Kind: warning, From: l.self.ID, Incarnation: l.self.Incarnation, Near: near, Term: l.term()}
	go l.sendToMany(l.vmIDs(), m)
}

func (l *Lead) handleWarning(m *message) {
	if l.Limits == nil {
		return
	}
	l.mu.Lock()
	l.noteTerm(m)
	current := l.fromAllocator(m)
	l.mu.Unlock()
	if current {
		l.Limits.Near(m.Near)
	}
}

// applyQuota applies the allocator's answer.
func (l *Lead) applyQuota(m *message, sent mono.Time) {
	if l.Limits != nil && m.Quota != nil && l.fromAllocator(m) {
		applyFractions(m.Quota.Shares, m.Fractions)
		l.Limits.ApplyAnswer(m.Quota, sent)
	}
}

// carried is what a VM carries over to another allocator for one customer; see quota.Usage.
type carried struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Fraction uint16
	Demand   uint32
	Since    uint32
}

// carriedOf returns what the usage carries over, or nil if it carries nothing.
func carriedOf(usage []quota.Usage) []carried {
	var all []carried
	for i, u := range usage {
		if c := (carried{Fraction: u.Fraction, Demand: u.Demand, Since: u.Since}); c != (carried{}) {
			all = append(all, make([]carried, i-len(all))...)
			all = append(all, c)
		}
	}
	return all
}

func applyCarried(usage []quota.Usage, all []carried) {
	for i := range min(len(usage), len(all)) {
		usage[i].Fraction, usage[i].Demand, usage[i].Since = all[i].Fraction, all[i].Demand, all[i].Since
	}
}

func fractionsOf(shares []quota.Share) []uint16 {
	all := make([]uint16, len(shares))
	for i, s := range shares {
		all[i] = s.Fraction
	}
	return all
}

func applyFractions(shares []quota.Share, all []uint16) {
	for i := range min(len(shares), len(all)) {
		shares[i].Fraction = all[i]
	}
}

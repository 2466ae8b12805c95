package metrics

// Names of the metrics of customers' limits and their tag.
const (
	LimitRefusals     = "limit_refusals"
	LimitsNear        = "limits_near"
	AllocatorChanges  = "allocator_changes"
	AllocatorsIgnored = "allocator_messages_ignored"
)

// Limits records the enforcement of customers' limits on this VM. A nil Limits records nothing.
type Limits struct{ scopes scopes }

// NewLimits returns a recorder that reports to the registry.
func NewLimits(r *Registry) *Limits { return &Limits{scopes{root: r.scope}} }

// Refused counts an operation refused by a limit, by the priority of its class, of which a configuration has few.
func (m *Limits) Refused(priority string) {
	if m == nil {
		return
	}
	m.scopes.get(scopeKey{extraName: TagPriority, extra: priority}).Counter(LimitRefusals).Inc(1)
}

// Near sets how many customers this VM knows to be near their limits.
func (m *Limits) Near(customers int) {
	if m == nil {
		return
	}
	m.scopes.root.Gauge(LimitsNear).Update(float64(customers))
}

// AllocatorChanged counts a change of the VM to which this VM reports.
func (m *Limits) AllocatorChanged() {
	if m == nil {
		return
	}
	m.scopes.root.Counter(AllocatorChanges).Inc(1)
}

// Ignored counts a warning or an answer of a former allocator.
func (m *Limits) Ignored() {
	if m == nil {
		return
	}
	m.scopes.root.Counter(AllocatorsIgnored).Inc(1)
}

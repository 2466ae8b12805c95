package metrics

import (
	"strconv"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Names of the metrics for the slots that the holders of a target share.
const (
	SlotStatements = "slot_statements_in_flight"
	SlotAllowance  = "slot_allowance"
	SlotWaiting    = "slot_requests_waiting"
	SlotLowered    = "slot_allowance_lowered"
)

// Slots records how a holder uses its targets' slots. A nil Slots records nothing.
type Slots struct{ scopes scopes }

// NewSlots returns a recorder that reports to the registry.
func NewSlots(r *Registry) *Slots { return &Slots{scopes{root: r.scope}} }

// Use records the statements in flight at a target, how many there may be, and the waiting requests by priority.
func (s *Slots) Use(id topology.TargetID, inFlight, allowance int, waiting map[int]int) {
	if s == nil {
		return
	}
	scope := s.scopes.get(scopeKey{extraName: TagTarget, extra: string(id)})
	scope.Gauge(SlotStatements).Update(float64(inFlight))
	scope.Gauge(SlotAllowance).Update(float64(allowance))
	for priority, n := range waiting {
		tags := map[string]string{TagPriority: strconv.Itoa(priority)}
		scope.Tagged(tags).Gauge(SlotWaiting).Update(float64(n))
	}
}

// Lowered counts that a holder lowered its allowance. Reasons are fixed in the daemon's code, so the number of
// metrics stays small.
func (s *Slots) Lowered(id topology.TargetID, reason string) {
	if s == nil {
		return
	}
	scope := s.scopes.get(scopeKey{extraName: TagTarget, extra: string(id)})
	scope.Tagged(map[string]string{TagReason: reason}).Counter(SlotLowered).Inc(1)
}

package gatewayd

import (
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/platform"
)

// Overload selects the mechanisms that share scarce capacity among callers. All are off unless they are set.
type Overload struct {
	// PriorityLimits admits the more urgent classes of a customer near its limit first.
	PriorityLimits bool `json:"priority_limits"`
	// FairQueue shares a target among customers by weight, and gives each priority a minimum share.
	FairQueue bool `json:"fair_queue"`
	// SharedSlots limits the statements that a holder has under way at a target to its share of the target's slots.
	SharedSlots bool `json:"shared_slots"`
	// RetainConnections keeps idle connections by how often their customers use them.
	RetainConnections bool `json:"retain_connections"`
	// AvoidOutliers sends fewer reads to targets that fail more, or answer more slowly, than others of their group.
	AvoidOutliers bool `json:"avoid_outliers"`
}

// applyContracts selects all mechanisms if the platform announces load beyond the targets' capacity and the settings
// don't select any themselves.
func (s *Settings) applyContracts() {
	if s.Overload == nil {
		on := platform.AnnouncesOverload(s.Contracts)
		s.Overload = &Overload{PriorityLimits: on, FairQueue: on, SharedSlots: on, RetainConnections: on, AvoidOutliers: on}
	}
}

func (o *Overload) targetOptions() target.Options {
	return target.Options{FairQueue: o.FairQueue, SharedSlots: o.SharedSlots, RetainConnections: o.RetainConnections}
}

package target

// Options selects how pools share a target's capacity. With the zero value waiting requests are ordered by priority
// and objective only, and the connections alone limit the statements under way.
type Options struct {
	// FairQueue shares a target among customers by weight, and gives each priority a minimum share.
	FairQueue bool
	// SharedSlots limits the statements under way at a target to this VM's share of its slots.
	SharedSlots bool
	// RetainConnections keeps idle connections by how often their customers use them.
	RetainConnections bool
}

// Package view holds a daemon's view of the cluster: the configuration in force, the
// group rows and the VMs. Readers get immutable records; every change replaces them.
package view

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// GroupPrefix begins the keys of group rows; the group's id follows.
const GroupPrefix = "group/"

// View is safe for concurrent use.
type View struct {
	clock mono.Clock

	mu      sync.RWMutex
	self    topology.VM
	conf    *config.View
	groups  map[topology.GroupID]*topology.Group
	members *membership.Table
	live    *membership.View
	vms     map[topology.VMID]topology.VM

	assignments      []failover.Assignment
	assignmentsValid bool

	started     mono.Time
	peersListed bool // set once the platform's list has contained another VM
}

// New returns a view that contains only this daemon's VM.
func New(self topology.VM, clock mono.Clock) *View {
	v := &View{
		clock:   clock,
		started: clock.Now(),
		self:    self,
		groups:  map[topology.GroupID]*topology.Group{},
		members: membership.NewTable(self, clock.Now()),
	}
	v.refresh()
	return v
}

// Self returns this daemon's VM.
func (v *View) Self() topology.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.self
}

// SetConfig puts a configuration in force.
func (v *View) SetConfig(c *config.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conf = c
	v.refresh()
}

// Config returns the configuration in force, or nil before the first SetConfig.
func (v *View) Config() *config.View {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.conf
}

// refresh recomputes what depends on the VMs and the configuration; the caller holds
// the lock.
func (v *View) refresh() {
	v.vms = map[topology.VMID]topology.VM{}
	for _, s := range v.members.Statuses() {
		v.vms[s.VM.ID] = s.VM
	}
	v.live = v.members.View(v.regions())
	v.assignmentsValid = false
}

func (v *View) regions() map[topology.DataCentre]string {
	regions := map[topology.DataCentre]string{v.self.DataCentre: v.self.Region}
	if v.conf == nil {
		return regions
	}
	for _, dc := range v.conf.DataCentres() {
		regions[dc.Name] = dc.Region
	}
	return regions
}

// Group returns the newest known row of a group, or nil if there is none.
func (v *View) Group(id topology.GroupID) *topology.Group {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.groups[id]
}

// Groups returns the newest known rows, in no order.
func (v *View) Groups() []*topology.Group {
	v.mu.RLock()
	defer v.mu.RUnlock()
	rows := make([]*topology.Group, 0, len(v.groups))
	for _, g := range v.groups {
		rows = append(rows, g)
	}
	return rows
}

// ApplyRows takes in changed rows of the table and returns the groups among them. It skips rows that can't be decoded
// and returns the last such error. An
// older version of a group's row doesn't replace a newer one: responses may arrive late.
func (v *View) ApplyRows(rows []platform.Row) (groups []*topology.Group, failure error) {
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, GroupPrefix) || row.Deleted {
			continue
		}
		var g topology.Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			failure = errors.Wrapf(err, "row %s", row.Key)
			continue
		}
		v.applyGroup(&g)
		groups = append(groups, &g)
	}
	return groups, failure
}

func (v *View) applyGroup(g *topology.Group) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.groups[g.ID]; old == nil || old.Version < g.Version {
		v.groups[g.ID] = g
	}
}

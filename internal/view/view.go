// Package view keeps what a daemon knows: the configuration in force, the group
// rows and the VMs. Readers get immutable records; every change replaces them.
package view

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dgryski/go-rendezvous"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// GroupPrefix begins the keys of group rows; the group's id follows.
const GroupPrefix = "group/"

// View is safe for concurrent use.
type View struct {
	self topology.VM

	mu     sync.RWMutex
	conf   *config.View
	groups map[topology.GroupID]*topology.Group
	vms    map[topology.VMID]topology.VM
}

// New makes a view that knows only its own VM.
func New(self topology.VM) *View {
	return &View{
		self:   self,
		groups: map[topology.GroupID]*topology.Group{},
		vms:    map[topology.VMID]topology.VM{self.ID: self},
	}
}

// Self returns this daemon's VM.
func (v *View) Self() topology.VM { return v.self }

// SetConfig puts a configuration in force.
func (v *View) SetConfig(c *config.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conf = c
}

// Config returns the configuration in force, nil before the first.
func (v *View) Config() *config.View {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.conf
}

// SetVMs replaces the other VMs.
func (v *View) SetVMs(vms []topology.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = map[topology.VMID]topology.VM{v.self.ID: v.self}
	for _, vm := range vms {
		if vm.ID != v.self.ID {
			v.vms[vm.ID] = vm
		}
	}
}

// VM finds a VM by its id.
func (v *View) VM(id topology.VMID) (topology.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	vm, ok := v.vms[id]
	return vm, ok
}

// Group returns the newest known row of a group; nil when there is none.
func (v *View) Group(id topology.GroupID) *topology.Group {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.groups[id]
}

// ApplyRows takes in changed rows of the table; rows of other kinds are passed
// over. An older version of a group's row is ignored: answers may come late.
func (v *View) ApplyRows(rows []platform.Row) error {
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, GroupPrefix) || row.Deleted {
			continue
		}
		var g topology.Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return errors.Wrapf(err, "row %s", row.Key)
		}
		v.ApplyGroup(&g)
	}
	return nil
}

// ApplyGroup takes in a group's row unless a newer one is known.
func (v *View) ApplyGroup(g *topology.Group) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.groups[g.ID]; old == nil || old.Version < g.Version {
		v.groups[g.ID] = g
	}
}

// PoolerOf returns the VM that pools the target's connections: the first in
// rendezvous order among the VMs of the target's data centre.
func (v *View) PoolerOf(id topology.TargetID) (topology.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.conf == nil {
		return topology.VM{}, false
	}
	t, ok := v.conf.Target(id)
	if !ok {
		return topology.VM{}, false
	}
	var names []string
	for _, vm := range v.vms {
		if vm.DataCentre == t.DataCentre && !vm.Leaving {
			names = append(names, string(vm.ID))
		}
	}
	if len(names) == 0 {
		return topology.VM{}, false
	}
	first := rendezvous.New(names, xxhash.Sum64String).Lookup(string(id))
	return v.vms[topology.VMID(first)], true
}

// Target implements pooler.Directory.
func (v *View) Target(id topology.TargetID) (pooler.TargetLimits, bool) {
	conf := v.Config()
	if conf == nil {
		return pooler.TargetLimits{}, false
	}
	t, ok := conf.Target(id)
	return pooler.TargetLimits{
		Target:      topology.Target{ID: t.ID, Group: t.Group, DataCentre: t.DataCentre, Address: t.Address},
		Slots:       t.Slots,
		Connections: t.Connections,
	}, ok
}

// Class implements pooler.Directory.
func (v *View) Class(service, class string) (pooler.ClassLimits, bool) {
	conf := v.Config()
	if conf == nil {
		return pooler.ClassLimits{}, false
	}
	c, ok := conf.Class(service, class)
	return pooler.ClassLimits{
		Write:           c.Kind == config.Write,
		Repeatable:      c.Repeatable || c.Kind == config.Read,
		WaitsForReplica: c.AckWaitsForReplica,
		Priority:        c.Priority.Rank(),
	}, ok
}

// Package directory holds what a VM knows about its deployment: the configuration in
// force, the targets and the other VMs. A watcher keeps each of them up to date.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Freshness is how recent the data returned by the reads of a class must be.
type Freshness int

// The kinds of freshness.
const (
	// Newest reads see every acknowledged commit.
	Newest Freshness = iota
	// Bounded reads see every commit acknowledged longer ago than the class's Staleness.
	Bounded
	// OwnWrites reads are Bounded reads that also see every commit of their own session.
	OwnWrites
)

// Class describes how the requests to one database name are served.
type Class struct {
	// Database is the name that callers open a session with.
	Database string
	// Name identifies the class in logs and metrics.
	Name  string
	Group topology.GroupID
	Reads Freshness
	// Staleness is the highest staleness that Bounded and OwnWrites reads accept.
	Staleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// Objective is the response time that callers expect.
	Objective time.Duration
	// Priority orders the classes; lower numbers go first.
	Priority int
	// Open is set when sessions of the class need no customer key.
	Open bool
}

// Configuration is one version of the settings that the operators declare.
type Configuration struct {
	Version uint64
	// Classes holds the classes by database name.
	Classes map[string]Class
	// Connections is how many connections each target of a group accepts from all VMs together.
	Connections map[topology.GroupID]int
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas map[topology.GroupID]int
	// Customers holds the customers whose keys open sessions; nil means that no session needs a key.
	Customers *customer.Registry
	// IdleTransaction is how long a transaction may be idle between two statements.
	IdleTransaction time.Duration
}

// Target is a database as described by its own registration.
type Target struct {
	topology.Target
	// ClaimsPrimary is set when the database reports that it is the primary.
	ClaimsPrimary bool
	Slots         int
	// Registration is the key of the database's registration. A database that restarts under the
	// same key is a different target: nothing agreed with the earlier process holds for it.
	Registration string
	// Started is when the process started, as reported by the database itself, in Unix
	// milliseconds; 0 if it reports none.
	Started uint64
	// LeavingSince is, for a target that is leaving, the last moment at which this VM knew that it
	// was not leaving; 0 if that is not known.
	LeavingSince mono.Time
	// Superseded is set when a later start has registered under the same key or at the same
	// address, so this process has ended. The lists of targets leave it out.
	Superseded bool
}

// supersedes reports whether t is a later start of o. Only the start times reported by the targets
// count: a late heartbeat may write the entry of a crashed target again after its successor has
// registered at its address.
func (t *Target) supersedes(o *Target) bool {
	if t.ID == o.ID || t.Started <= o.Started {
		return false
	}
	return t.Registration != "" && t.Registration == o.Registration ||
		o.Started != 0 && t.Address != "" && t.Address == o.Address
}

// Directory holds the newest known configuration, targets and VMs. It is safe for concurrent use.
type Directory struct {
	self  topology.VM
	relay *Relay

	mu      sync.RWMutex
	config  *Configuration
	targets map[topology.TargetID]Target
	index   targetIndex
	vms     map[topology.VMID]topology.VM
	// sorted, byGroup, groups and vmList are rebuilt by the first read after a change: they are
	// read with every request and many times a second besides, and changes come in bursts of
	// dozens, as when many VMs start at once.
	stale   bool
	sorted  []Target
	byGroup map[topology.GroupID][]Target
	groups  []topology.GroupID
	vmList  []topology.VM
	// holders caches the VMs that connect to each target, for the targets asked for so far.
	holders   map[topology.TargetID][]topology.VMID
	placement *placement.VMs
	changes   uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// New returns an empty directory for the VM self.
func New(self topology.VM) *Directory {
	return &Directory{
		self:    self,
		relay:   newRelay(),
		targets: map[topology.TargetID]Target{},
		index:   newTargetIndex(),
		vms:     map[topology.VMID]topology.VM{},
		holders: map[topology.TargetID][]topology.VMID{},
		changed: make(chan struct{}),
	}
}

// Self returns this VM.
func (d *Directory) Self() topology.VM { return d.self }

// Relay returns the relay through which VMs report changes in the store to each other.
func (d *Directory) Relay() *Relay { return d.relay }

// minRelayVMs is the number of VMs from which on one VM watches the store for all of them. With
// two VMs, the other one's own watches cost no more than the relay's safeguards.
const minRelayVMs = 3

// UsesRelay reports whether one VM watches the store and reports changes to the others.
func (d *Directory) UsesRelay() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.vms) >= minRelayVMs
}

// Changed returns a channel that is closed with the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

func (d *Directory) notify() {
	d.changes++
	d.stale = true
	close(d.changed)
	d.changed = make(chan struct{})
}

// rlockLists locks d for reading, with the lists up to date.
func (d *Directory) rlockLists() {
	d.mu.RLock()
	for d.stale {
		d.mu.RUnlock()
		d.mu.Lock()
		d.rebuildLists()
		d.mu.Unlock()
		d.mu.RLock()
	}
}

func (d *Directory) rebuildLists() {
	d.sorted = slices.SortedFunc(maps.Values(d.targets), func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.sorted = slices.DeleteFunc(d.sorted, func(t Target) bool { return t.Superseded || !d.hasGroup(t.Group) })
	d.byGroup = map[topology.GroupID][]Target{}
	for _, t := range d.sorted {
		d.byGroup[t.Group] = append(d.byGroup[t.Group], t)
	}
	d.groups = slices.Sorted(maps.Keys(d.byGroup))
	d.vmList = slices.SortedFunc(maps.Values(d.vms), func(a, b topology.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.stale = false
}

// hasGroup reports whether the configuration has the group. A registration in any other group
// comes from a writer outside this deployment and is not a target to use.
func (d *Directory) hasGroup(group topology.GroupID) bool {
	if d.config == nil || d.config.Connections == nil {
		return true
	}
	_, ok := d.config.Connections[group]
	return ok
}

// SetConfiguration installs c if it is newer than the configuration in force, and reports
// whether it was. The version in force never decreases.
func (d *Directory) SetConfiguration(c *Configuration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	d.config = c
	d.resetHolders()
	d.notify()
	return true
}

// Configuration returns the configuration in force, or nil if there is none.
func (d *Directory) Configuration() *Configuration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config
}

// Class returns the class of a database name.
func (d *Directory) Class(database string) (Class, bool) {
	c := d.Configuration()
	if c == nil {
		return Class{}, false
	}
	class, ok := c.Classes[database]
	return class, ok
}

// SetTarget stores a target and reports whether anything changed. The caller sets t.LeavingSince
// to the last moment at which the previously stored entry was up to date.
func (d *Directory) SetTarget(t Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.LeavingSince = d.leavingSince(&t)
	related := d.index.related(&t)
	for _, id := range related {
		o := d.targets[id]
		t.Superseded = t.Superseded || o.supersedes(&t)
	}
	known, ok := d.targets[t.ID]
	if ok && known == t {
		return false
	}
	if ok {
		d.index.remove(&known)
	}
	d.targets[t.ID] = t
	d.index.add(&t)
	for _, id := range related {
		if o := d.targets[id]; t.supersedes(&o) {
			o.Superseded = true
			d.targets[id] = o
		}
	}
	d.notify()
	return true
}

// removeTarget removes a target. The caller holds the lock.
func (d *Directory) removeTarget(t *Target) {
	d.index.remove(t)
	delete(d.targets, t.ID)
}

// leavingSince returns the LeavingSince to store for t. It is 0 for a target that was not known
// before, which may have begun to leave at any time.
func (d *Directory) leavingSince(t *Target) mono.Time {
	known, ok := d.targets[t.ID]
	switch {
	case !t.Leaving || !ok:
		return 0
	case known.Leaving:
		return known.LeavingSince
	}
	return t.LeavingSince
}

// RemoveRegistration removes the targets registered under a key and returns their IDs.
func (d *Directory) RemoveRegistration(key string) []topology.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := slices.Clone(d.index.byRegistration[key])
	for _, id := range removed {
		t := d.targets[id]
		d.removeTarget(&t)
	}
	if len(removed) > 0 {
		d.notify()
	}
	return removed
}

// KeepRegistrations removes all targets but those registered under the keys, and returns the
// IDs of the removed ones.
func (d *Directory) KeepRegistrations(keys map[string]bool) []topology.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removed []topology.TargetID
	for id, t := range d.targets {
		if !keys[t.Registration] {
			d.removeTarget(&t)
			removed = append(removed, id)
		}
	}
	if len(removed) > 0 {
		d.notify()
	}
	return removed
}

// MissingRegistrations returns the keys of all targets that are not among the keys.
func (d *Directory) MissingRegistrations(keys map[string]bool) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var missing []string
	for _, t := range d.targets {
		if !keys[t.Registration] && !slices.Contains(missing, t.Registration) {
			missing = append(missing, t.Registration)
		}
	}
	return missing
}

// Target returns a target, including one that is superseded.
func (d *Directory) Target(id topology.TargetID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, ok := d.targets[id]
	return t, ok
}

// Changes returns the number of changes so far.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Targets returns the targets ordered by ID, without superseded ones and those of groups that the
// configuration does not have. The slice must not be changed.
func (d *Directory) Targets() []Target {
	d.rlockLists()
	defer d.mu.RUnlock()
	return d.sorted
}

// Groups returns the groups that have a target, in sorted order. The slice must not be changed.
func (d *Directory) Groups() []topology.GroupID {
	d.rlockLists()
	defer d.mu.RUnlock()
	return d.groups
}

// TargetsOf returns a group's targets ordered by ID, as Targets does. The slice must not be changed.
func (d *Directory) TargetsOf(group topology.GroupID) []Target {
	d.rlockLists()
	defer d.mu.RUnlock()
	return d.byGroup[group]
}

// fullRateVMs is the number of VMs above which the waits of watches grow with it, so that the
// calls of all VMs together do not: the store serves a limited number of calls a second, whoever
// sends them.
const fullRateVMs = 20

// WatchWait returns the wait of a watch: the usual one, lengthened for many VMs up to limit.
func (d *Directory) WatchWait(limit time.Duration) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return min(limit, watchWait*time.Duration(max(len(d.vms), fullRateVMs))/fullRateVMs)
}

// changeDelay is how long the watches of many VMs pause after a change: registrations come by the
// dozen as VMs start together, and one call then returns many. The delay grows with the number of
// VMs from changeDelayVMs on, up to maxChangeDelay, so that the calls for the changes of some
// seconds do not grow as much.
const (
	changeDelay    = 700 * time.Millisecond
	maxChangeDelay = 2 * time.Second
	changeDelayVMs = 100
)

// ChangeDelay returns how long a watch pauses after a change.
func (d *Directory) ChangeDelay() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.vms) <= fullRateVMs {
		return 0
	}
	return min(maxChangeDelay, changeDelay*time.Duration(max(len(d.vms), changeDelayVMs))/changeDelayVMs)
}

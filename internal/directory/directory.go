// Package directory holds what a VM knows of its deployment: the configuration in
// force, the targets and the other VMs, each kept up to date by a watcher.
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

// Freshness is what the reads of a class need.
type Freshness int

// The kinds of freshness.
const (
	// Newest reads see every acknowledged commit.
	Newest Freshness = iota
	// Bounded reads see every commit acknowledged longer ago than the staleness.
	Bounded
	// OwnWrites reads see besides every commit of their own session.
	OwnWrites
)

// Class is how the requests of one database name are served.
type Class struct {
	// Database is the name that callers open a session with.
	Database string
	// Name of the class for logs and metrics.
	Name  string
	Group topology.GroupID
	Reads Freshness
	// Staleness that Bounded and OwnWrites reads accept.
	Staleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// Objective is within what time callers want their answer.
	Objective time.Duration
	// Priority orders the classes; lower numbers go first.
	Priority int
	// Open: its sessions need no customer's key.
	Open bool
}

// Configuration is one version of what the operators declare.
type Configuration struct {
	Version uint64
	// Classes by database name.
	Classes map[string]Class
	// Connections that each target of a group takes from all VMs together.
	Connections map[topology.GroupID]int
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas map[topology.GroupID]int
	// Customers whose keys open sessions; nil: sessions need none.
	Customers *customer.Registry
	// IdleTransaction is how long a transaction may rest between two statements.
	IdleTransaction time.Duration
}

// Target is a database as it registered itself.
type Target struct {
	topology.Target
	// SaysPrimary: it takes itself for the primary.
	SaysPrimary bool
	Slots       int
	// Registration is the key under which it registered. A database that starts again under
	// the same key is another target: it knows nothing that was agreed with the one before.
	Registration string
	// Started is when its process started by its own word, in Unix milliseconds; 0: not told.
	Started uint64
	// LeavingSince is, for one that leaves, the last moment at which this VM knew it to stay; 0: it is not
	// known when it began to leave.
	LeavingSince mono.Time
	// Superseded: a later start has registered under its key or at its address, so it has ended.
	// The lists of targets leave it out.
	Superseded bool
}

// follows reports whether t is a later start of what o was. Only the targets' own word counts:
// the entry of one that crashed may be written again when a late heartbeat of it arrives, after
// its successor has registered at its address.
func (t *Target) follows(o *Target) bool {
	if t.ID == o.ID || t.Started <= o.Started {
		return false
	}
	return t.Registration != "" && t.Registration == o.Registration ||
		o.Started != 0 && t.Address != "" && t.Address == o.Address
}

// Directory holds the newest of each. Safe for concurrent use.
type Directory struct {
	self  topology.VM
	relay *Relay

	mu      sync.RWMutex
	config  *Configuration
	targets map[topology.TargetID]Target
	vms     map[topology.VMID]topology.VM
	// sorted, byGroup, groups and vmList are made anew when they are read after a change:
	// they are read with every request and many times a second besides, and changes come
	// by the dozen, as when many VMs start at once.
	stale   bool
	sorted  []Target
	byGroup map[topology.GroupID][]Target
	groups  []topology.GroupID
	vmList  []topology.VM
	// holders are the VMs that connect to each target, as far as they were asked for.
	holders   map[topology.TargetID][]topology.VMID
	placement *placement.VMs
	changes   uint64
	// told is closed and replaced when something changes.
	told chan struct{}
}

// New makes an empty directory of a VM.
func New(self topology.VM) *Directory {
	return &Directory{
		self:    self,
		relay:   newRelay(),
		targets: map[topology.TargetID]Target{},
		vms:     map[topology.VMID]topology.VM{},
		holders: map[topology.TargetID][]topology.VMID{},
		told:    make(chan struct{}),
	}
}

// Self returns this VM.
func (d *Directory) Self() topology.VM { return d.self }

// Relay returns what VMs tell each other of changes in the store.
func (d *Directory) Relay() *Relay { return d.relay }

// relayFrom is the number of VMs from which one watches the store for all: with two the other
// one's watches cost no more than the relay's safeguards.
const relayFrom = 3

// Relays reports whether VMs tell each other of changes in the store.
func (d *Directory) Relays() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.vms) >= relayFrom
}

// Changed returns a channel that is closed with the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.told
}

func (d *Directory) tell() {
	d.changes++
	d.stale = true
	close(d.told)
	d.told = make(chan struct{})
}

// lists returns with the lock held for reading and the lists up to date.
func (d *Directory) lists() {
	d.mu.RLock()
	for d.stale {
		d.mu.RUnlock()
		d.mu.Lock()
		d.makeLists()
		d.mu.Unlock()
		d.mu.RLock()
	}
}

func (d *Directory) makeLists() {
	d.sorted = slices.SortedFunc(maps.Values(d.targets), func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.sorted = slices.DeleteFunc(d.sorted, func(t Target) bool { return t.Superseded || !d.names(t.Group) })
	d.byGroup = map[topology.GroupID][]Target{}
	for _, t := range d.sorted {
		d.byGroup[t.Group] = append(d.byGroup[t.Group], t)
	}
	d.groups = slices.Sorted(maps.Keys(d.byGroup))
	d.vmList = slices.SortedFunc(maps.Values(d.vms), func(a, b topology.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.stale = false
}

// names reports whether the configuration has the group. A registration of another one comes
// from a writer that is not ours, and names no target to use.
func (d *Directory) names(group topology.GroupID) bool {
	if d.config == nil || d.config.Connections == nil {
		return true
	}
	_, ok := d.config.Connections[group]
	return ok
}

// SetConfiguration takes over a newer configuration. It reports whether it was
// newer: what is in force never goes back.
func (d *Directory) SetConfiguration(c *Configuration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	d.config = c
	d.forgetHolders()
	d.tell()
	return true
}

// Configuration returns the one in force, or nil.
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

// SetTarget takes over what is newly known of a target, and reports whether it differs. Its LeavingSince is
// the last moment at which what was known before was up to date.
func (d *Directory) SetTarget(t Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.LeavingSince = d.leavingSince(&t)
	for _, o := range d.targets {
		t.Superseded = t.Superseded || o.follows(&t)
	}
	if d.targets[t.ID] == t {
		return false
	}
	d.targets[t.ID] = t
	for id, o := range d.targets {
		if t.follows(&o) {
			o.Superseded = true
			d.targets[id] = o
		}
	}
	d.tell()
	return true
}

// leavingSince returns when a target began to leave. One that was not known until now may have begun at any time.
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

// RemoveRegistration forgets the targets that registered under a key, and returns their names.
func (d *Directory) RemoveRegistration(key string) []topology.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []topology.TargetID
	for id, t := range d.targets {
		if t.Registration == key {
			delete(d.targets, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.tell()
	}
	return gone
}

// KeepRegistrations forgets all targets but those that registered under the keys, and returns
// the names of the others.
func (d *Directory) KeepRegistrations(keys map[string]bool) []topology.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []topology.TargetID
	for id, t := range d.targets {
		if !keys[t.Registration] {
			delete(d.targets, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.tell()
	}
	return gone
}

// Target returns a target, also one that is superseded.
func (d *Directory) Target(id topology.TargetID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, ok := d.targets[id]
	return t, ok
}

// Changes counts the changes so far.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Targets returns all targets in order of their names. The slice must not be changed.
func (d *Directory) Targets() []Target {
	d.lists()
	defer d.mu.RUnlock()
	return d.sorted
}

// Groups returns the groups that have a target, in order of their names. The slice must
// not be changed.
func (d *Directory) Groups() []topology.GroupID {
	d.lists()
	defer d.mu.RUnlock()
	return d.groups
}

// TargetsOf returns a group's targets in order of their names. The slice must not be
// changed.
func (d *Directory) TargetsOf(group topology.GroupID) []Target {
	d.lists()
	defer d.mu.RUnlock()
	return d.byGroup[group]
}

// The waits of watches grow with the number of VMs from this one on, so that the calls of
// all VMs together do not: the store takes so many a second, whoever sends them.
const watchersFree = 20

// WatchWait returns the usual wait of a watch, lengthened for many VMs up to the most.
func (d *Directory) WatchWait(most time.Duration) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return min(most, watchWait*time.Duration(max(len(d.vms), watchersFree))/watchersFree)
}

// changeRest is how long watches of many VMs rest after a change: registrations come by the dozen
// as VMs start together, and one call then brings many. The rest grows with the VMs from restingVMs on, up
// to longestRest, so that the calls for the changes of some seconds do not grow with it as much.
const (
	changeRest  = 700 * time.Millisecond
	longestRest = 2 * time.Second
	restingVMs  = 100
)

// ChangeRest returns how long a watch rests after a change.
func (d *Directory) ChangeRest() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.vms) <= watchersFree {
		return 0
	}
	return min(longestRest, changeRest*time.Duration(max(len(d.vms), restingVMs))/restingVMs)
}

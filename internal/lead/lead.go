// Package lead carries out what pkg/lease decides: it renews this VM's rights,
// coordinates groups, takes over from coordinators that fail, and replaces
// primaries.
package lead

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/limit"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Table is the system's own table in the metadata store.
const Table = "buckthornshore"

// Keys in the table.
const (
	vmPrefix    = "vm/"
	groupPrefix = "group/"
	// removalKey is the row whose version shows each removal of a VM's registration.
	removalKey = "group-removal"
)

// decisionRows is the range of all rows but the VMs' registrations: the duty and the groups. It is
// what a decision rests on, and does not grow with the number of VMs.
var decisionRows = metastore.Range{From: dutyKey, To: vmPrefix}

const (
	tickPeriod = 50 * time.Millisecond
	// renewPeriod leaves room for two lost renewals within a right.
	renewPeriod = 250 * time.Millisecond
	// readAhead: a right that ends sooner and was not renewed is kept up by
	// readings of the store.
	readAhead = 350 * time.Millisecond
	// readPeriod between two such readings; it doubles with each that fails, up to
	// longestReadPeriod: with the store out each VM without a right asked it three times a second.
	readPeriod        = 300 * time.Millisecond
	longestReadPeriod = 1200 * time.Millisecond
	// readGrace is how long after a new row was adopted the coordinator's promise is waited for
	// before the store is read: it is asked for at once. Without it every VM would read the store
	// at each change of a row.
	readGrace = 100 * time.Millisecond
	// wantedFor is how long rights are kept up after a caller needed one, before the first promise.
	wantedFor = 2 * time.Second
	// missingRowPeriod is how often the store is read for the row of a group that this VM knows
	// no row of. The VM that wrote it told of it, but a datagram may be lost.
	missingRowPeriod = 3 * time.Second
	// CoordinatorWatch is how long a coordinator's watches wait: each answer shows that
	// its rows are still its own, and the other VMs rely on what it brings.
	CoordinatorWatch = 500 * time.Millisecond
	// coordinatorRest is how long a coordinator's watch rests after a change: with a watch
	// and a slow store's answer it is less than a coordinator promises by one reading.
	coordinatorRest = 200 * time.Millisecond
	// longestWatch of the rows: changes of them are told by their coordinator as well.
	longestWatch = 8 * time.Second
)

// ErrNotPromotable is a platform's refusal to promote: the target does not run.
var ErrNotPromotable = errors.New("lead: the target can't be promoted")

// Promotions orders the platform to promote.
type Promotions interface {
	Promote(ctx context.Context, group topology.GroupID, id topology.TargetID, holder topology.VMID, fence uint64) error
}

// Control commands targets over connections of its own.
type Control interface {
	Status(ctx context.Context, t topology.Target) (target.Status, error)
	StopReceiving(ctx context.Context, t topology.Target, term uint64) (target.Status, error)
	Resume(ctx context.Context, t topology.Target) (target.Status, error)
	StepDown(ctx context.Context, t topology.Target, term uint64) (target.Status, error)
}

// Health tells how this VM finds a target, and shares the targets' connections with the
// other VMs.
type Health interface {
	Load(id topology.TargetID) (target.Load, bool)
	Starved() []topology.TargetID
	Yield(ids []topology.TargetID)
}

// Options of New.
type Options struct {
	Directory  *directory.Directory
	Store      metastore.Store
	Control    Control
	Promotions Promotions
	Health     Health
	// Limits of customers at this VM; nil: there are none.
	Limits    *limit.Keeper
	Transport *Transport
	Clock     mono.Clock
	Log       *slog.Logger
}

// Lead keeps this VM's rights and its part in choosing primaries. Safe for
// concurrent use.
type Lead struct {
	Options
	self topology.VM

	mu          sync.Mutex
	holder      *lease.Holder
	coordinator *lease.Coordinator
	allocator   *quota.Allocator
	versions    map[topology.GroupID]uint64 // of the rows in the store
	reports     map[topology.GroupID]map[topology.VMID]report
	renewals    map[topology.VMID]*exchange
	answers     map[topology.VMID]answers
	silences    map[topology.VMID]*silence
	working     map[topology.GroupID]bool // a change of this VM is under way
	duty        dutyState
	placing     placing
	missing     map[topology.GroupID]mono.Time
	lagging     map[topology.GroupID]lagging
	firstSeen   map[topology.GroupID]mono.Time
	// writingFirst: first rows are being written. vmsKnown is how many VMs were last known, and
	// vmsChanged when their number changed.
	writingFirst bool
	vmsKnown     int
	vmsChanged   mono.Time
	heard        map[topology.VMID]mono.Time // when each VM's last message came
	// listening is since when a coordinator listens for each VM.
	listening map[topology.VMID]mono.Time
	frozen    map[topology.GroupID]frozenAt
	// takenFrom is when this VM last took groups over from a coordinator.
	takenFrom map[topology.VMID]mono.Time
	// gone are the starts of VMs that said that they leave.
	gone      map[topology.VMID]topology.Incarnation
	starved   map[topology.TargetID]mono.Time // until when a VM is short of connections
	storeSeen mono.Time
	// positions are shared with the other VMs, and samples those that this VM tells; nil: none are.
	positions Positions
	samples   map[topology.GroupID]routing.Sample
	// storeBack is when a reading of the store last succeeded after others had failed.
	storeBack mono.Time
	// storeHeard is when a coordinator last told that the store answers it: meanwhile
	// this VM asks the store for nothing.
	storeHeard mono.Time
	reading    bool
	lastRead   mono.Time
	// probe: the store is to be read, to find out whether it answers.
	probe bool
	// registered is a version of the store at which this VM was registered; 0: none is known.
	registered uint64
	// readFailures counts the readings in a row that failed.
	readFailures int
	// adopted is when a new row was last adopted.
	adopted mono.Time
	// promised: a coordinator has given a promise. wanted is when a caller last lacked a right.
	promised bool
	wanted   mono.Time
	// connected is since when some right was held without a gap.
	connected mono.Time
	// cutSince is since when no right was held; cutTold: it was logged.
	cutSince mono.Time
	cutTold  bool
	// outOfTouch: no right has been renewed for long.
	outOfTouch bool
	leaving    bool
	changed    chan struct{}
}

// exchange is the renewals to one coordinator.
type exchange struct {
	sequence uint64
	sent     mono.Time
	// sentAt holds the instants of the last renewals by sequence.
	sentAt map[uint64]mono.Time
}

// New makes a Lead that holds no right. The VM must have been registered in the store.
func New(o Options) *Lead {
	self := o.Directory.Self()
	return &Lead{
		Options:     o,
		self:        self,
		holder:      lease.NewHolder(),
		coordinator: lease.NewCoordinator(self.ID, self.Incarnation),
		allocator:   quota.NewAllocator(),
		versions:    map[topology.GroupID]uint64{},
		reports:     map[topology.GroupID]map[topology.VMID]report{},
		renewals:    map[topology.VMID]*exchange{},
		answers:     map[topology.VMID]answers{},
		silences:    map[topology.VMID]*silence{},
		working:     map[topology.GroupID]bool{},
		missing:     map[topology.GroupID]mono.Time{},
		lagging:     map[topology.GroupID]lagging{},
		firstSeen:   map[topology.GroupID]mono.Time{},
		heard:       map[topology.VMID]mono.Time{},
		listening:   map[topology.VMID]mono.Time{},
		frozen:      map[topology.GroupID]frozenAt{},
		takenFrom:   map[topology.VMID]mono.Time{},
		gone:        map[topology.VMID]topology.Incarnation{},
		starved:     map[topology.TargetID]mono.Time{},
		changed:     make(chan struct{}),
	}
}

// Run works until ctx ends.
func (l *Lead) Run(ctx context.Context) {
	watcher := &directory.Watcher{
		Store: l.Store, Table: Table, Clock: l.Clock, Log: l.Log,
		All: l.takeAll, Change: l.takeChange, Seen: l.storeAnswered, Wait: l.watchWait,
		ChangeDelay: l.WatchRest, Feed: directory.OwnRows, Relay: l.Directory.Relay(),
	}
	go watcher.Run(ctx)
	go l.Transport.Serve(ctx, l.handle)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		l.tick(ctx)
		select {
		case <-ticker.C:
		case <-l.urgentUsage():
			l.hurryUsage()
		case <-ctx.Done():
			return
		}
	}
}

// watchWait shortens the watch of a coordinator.
func (l *Lead) watchWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coordinator.Groups()) > 0 {
		return CoordinatorWatch
	}
	return l.Directory.WatchWait(longestWatch)
}

// WatchRest is how long watches rest after a change. A coordinator's is short: its own
// readings are what its promises rest on while it hears too few witnesses, and what it
// learns of targets it tells the others.
func (l *Lead) WatchRest() time.Duration {
	rest := l.Directory.ChangeDelay()
	if l.Coordinates() {
		return min(rest, coordinatorRest)
	}
	return rest
}

// Coordinates reports whether this VM coordinates a group.
func (l *Lead) Coordinates() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.coordinator.Groups()) > 0
}

// storeLost reports whether the store has not answered for longer than a watch takes.
func (l *Lead) storeLost(now mono.Time) bool {
	wait := CoordinatorWatch
	if len(l.coordinator.Groups()) == 0 {
		wait = l.Directory.WatchWait(longestWatch)
	}
	return now.Sub(max(l.storeSeen, l.storeHeard)) > wait+storeLostSlack
}

// Leave gives up this VM's part as a coordinator: it answers no renewal's judgement
// any more, and the others take over.
func (l *Lead) Leave(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	groups := l.coordinator.Groups()
	l.mu.Unlock()
	if len(groups) == 0 {
		return
	}
	// The duty goes first. Its next holder reads the store as it gets its first group; reading
	// that this VM still has the duty, it handed the group back to the VM that leaves.
	next := l.successor()
	l.giveDuty(ctx, next)
	for _, g := range groups {
		l.handOver(ctx, g, next)
	}
}

func (l *Lead) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// Right returns the right that this VM has for the group's primary now.
func (l *Lead) Right(group topology.GroupID) (lease.Right, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right(group)
}

func (l *Lead) right(group topology.GroupID) (lease.Right, bool) {
	now := l.Clock.Now()
	r, ok := l.holder.Right(group, now)
	if !ok {
		l.wanted = now
	}
	return r, ok
}

// Confirm reports whether the right still stands.
func (l *Lead) Confirm(r lease.Right) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Confirm(r, l.Clock.Now())
}

// Row returns the newest row known of a group, or nil.
func (l *Lead) Row(group topology.GroupID) *lease.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Row(group)
}

// Await returns the right for the group's primary, waiting for it until ctx ends. It
// does not wait while this VM is cut off.
func (l *Lead) Await(ctx context.Context, group topology.GroupID) (lease.Right, bool) {
	for {
		l.mu.Lock()
		r, ok := l.right(group)
		changed, cut := l.changed, l.isCutOff(l.Clock.Now())
		l.mu.Unlock()
		if ok || cut {
			return r, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lease.Right{}, false
		}
	}
}

// Frozen returns the end of the group's log while its primary is being replaced and no
// VM has a right, with when that was last heard: nothing is acknowledged meanwhile. A candidate that holds less than
// the former primary may be given up, so what it holds is not the end before it leads.
func (l *Lead) Frozen(group topology.GroupID) (position.Position, mono.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.holder.Row(group)
	at := l.frozen[group]
	if row == nil || row.Open() || !row.Handover.Complete || at.version != row.Version {
		return position.Position{}, 0, false
	}
	return row.Handover.End, at.heard, true
}

// frozenAt is when a version of a row was last confirmed by its coordinator.
type frozenAt struct {
	version uint64
	heard   mono.Time
}

// tell wakes those that wait for a right.
func (l *Lead) tell() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Package lead carries out the decisions of pkg/lease: it renews this VM's rights, coordinates
// groups, takes over from failed coordinators, and replaces primaries.
//
// Each group has a coordinator, but only the VM that holds the promotion duty may order promotions,
// for all groups. The duty is a row of its own in the metadata store.
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
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Table is the proxy's own table in the metadata store.
const Table = "buckthornshore"

// Keys in the table.
const (
	vmPrefix    = "vm/"
	groupPrefix = "group/"
	// removalKey is the key of the row whose version changes whenever a VM's registration is
	// removed.
	removalKey = "group-removal"
)

// decisionRows is the range of all rows except the VMs' registrations: the promotion duty and the
// groups. Decisions are based on these rows only, and their number does not grow with the number of
// VMs.
var decisionRows = metastore.Range{From: dutyKey, To: vmPrefix}

const (
	tickPeriod = 50 * time.Millisecond
	// renewPeriod is the time between two renewals of a right. It allows two consecutive renewals to
	// be lost before the right expires.
	renewPeriod = 250 * time.Millisecond
	// readAhead is the remaining lifetime of a right below which, without a renewal, it is extended
	// by reading the store.
	readAhead = 350 * time.Millisecond
	// readPeriod is the time between two such reads. It doubles with each failed read, up to
	// longestReadPeriod: during a store outage each VM without a right queried the store three
	// times a second.
	readPeriod        = 300 * time.Millisecond
	longestReadPeriod = 1200 * time.Millisecond
	// readGrace is how long after adopting a new row a VM waits for the coordinator's promise, which
	// it requests at once, before it reads the store. Without the wait every VM would read the
	// store at each change of a row.
	readGrace = 100 * time.Millisecond
	// rightDemandTTL is how long rights are kept renewed after a caller needed one, until the first
	// promise arrives.
	rightDemandTTL = 2 * time.Second
	// missingRowPeriod is how often the store is read for a group whose row this VM does not know.
	// The VM that wrote the row sent a notice, but a datagram may be lost.
	missingRowPeriod = 3 * time.Second
	// CoordinatorWatch is the wait time of a coordinator's watches. Each answer shows that the
	// coordinator's rows are unchanged, and the other VMs rely on the changes that it relays.
	CoordinatorWatch = 500 * time.Millisecond
	// coordinatorWatchPause is how long a coordinator pauses its watch after a change. Together
	// with one watch and a slow answer of the store, it stays below the time for which one read
	// lets a coordinator promise.
	coordinatorWatchPause = 200 * time.Millisecond
	// longestWatch is the longest wait time of a watch of the rows. Their coordinator announces
	// changes as well.
	longestWatch = 8 * time.Second
)

var (
	// ErrNotPromotable is returned when the platform refuses a promotion because the target is not
	// running.
	ErrNotPromotable = errors.New("lead: the target can't be promoted")
	// ErrNotPending marks errors of a promotion order that is not in flight any more: it was answered, or it was not sent.
	ErrNotPending = errors.New("lead: the order is not pending")
)

// Promotion is an order to the platform to promote a target.
type Promotion struct {
	lease.Order
	Group  topology.GroupID
	Target topology.TargetID
	// Holder is the VM that holds the duty, with the fencing token Fence.
	Holder topology.VMID
	Fence  uint64
}

// Promotions sends promotion orders to the platform. An order is not sent after its last moment to send, nor before the
// platform has answered on the order's connection. It is given up by its end, however the call or the process ends. Errors that
// are not marked with ErrNotPending leave open whether the order has arrived, or still will.
type Promotions interface {
	Promote(ctx context.Context, order Promotion) error
}

// Control sends commands to targets over connections of its own.
type Control interface {
	Status(ctx context.Context, t topology.Target) (target.Status, error)
	StopReceiving(ctx context.Context, t topology.Target, term uint64) (target.Status, error)
	Resume(ctx context.Context, t topology.Target) (target.Status, error)
	StepDown(ctx context.Context, t topology.Target, term uint64) (target.Status, error)
}

// Health reports the state of targets as this VM observes it, and shares the targets' connections
// with the other VMs.
type Health interface {
	Load(id topology.TargetID) (target.Load, bool)
	Starved() []topology.TargetID
	LimitToShare(ids []topology.TargetID)
}

// Options are the parameters of New.
type Options struct {
	Directory  *directory.Directory
	Store      metastore.Store
	Control    Control
	Promotions Promotions
	Health     Health
	// Peers are asked for the rows of the store as this VM starts; nil means that the store is.
	Peers directory.Peers
	// Limits holds the customers' limits at this VM; nil means no limits.
	Limits    *limit.Limiter
	Transport *Transport
	Clock     mono.Clock
	Log       *slog.Logger
}

// Lead maintains this VM's rights and takes part in choosing primaries. It is safe for concurrent
// use.
type Lead struct {
	Options
	self topology.VM
	// started is when this VM started. All orders sent before have ended OrderLife later.
	started mono.Time

	mu          sync.Mutex
	holder      *lease.Holder
	coordinator *lease.Coordinator
	allocator   *quota.Allocator
	// allocatorFence is the fence of the row under which the allocator's state was collected, and latestTerm
	// the latest allocator term that any message has named.
	allocatorFence uint64
	latestTerm     allocatorTerm
	slots          slotDivision
	stored         map[topology.GroupID]storedRow // the groups' rows in the store
	// era is the store's latest era whose rows this VM has read, and eraSince when it read them first.
	era      uint64
	eraSince mono.Time
	// renewingDuty is set while this VM claims the duty again after a restoration of the store.
	renewingDuty     bool
	reports          map[topology.GroupID]map[topology.VMID]report
	renewals         map[topology.VMID]*renewalState
	coordinatorState map[topology.VMID]coordinatorState
	inquiries        map[topology.VMID]*inquiry
	changing         map[topology.GroupID]bool // groups that this VM is currently changing
	replacing        map[topology.GroupID]bool // groups of which this VM is currently replacing the primary
	duty             dutyState
	// givingDuty is set while the duty is being given away; no order may be sent then.
	givingDuty bool
	// pending holds each group's latest promotion order, if the platform has not answered it. It may arrive until its end.
	pending map[topology.GroupID]Promotion
	// unanswered holds when this VM sent orders that were not answered, and unsettled when this coordinator learned of the
	// targets that its rows name as such; both by group and target.
	unanswered, unsettled map[topology.GroupID]map[topology.TargetID]mono.Time
	// logs are those of targets that commits wait for.
	logs                *targetLogs
	relocation          relocation
	primaryMissingSince map[topology.GroupID]mono.Time
	lagState            map[topology.GroupID]lagState
	members             map[topology.GroupID]memberState
	leaderChecks        map[topology.GroupID]leaderCheck
	// removedMembers are the targets that rows no longer record and that this VM still lists as registered.
	removedMembers map[topology.GroupID]map[topology.TargetID]bool
	firstSeen      map[topology.GroupID]mono.Time
	// writingFirstRows is set while first rows are being written. vmCount is the last known number
	// of VMs, and vmCountChanged when that number last changed.
	writingFirstRows bool
	vmCount          int
	vmCountChanged   mono.Time
	following        following
	// subscribed are the groups, in order, that each VM follows among those that this VM coordinates.
	subscribed  map[topology.VMID][]topology.GroupID
	lastMessage map[topology.VMID]mono.Time // when each VM's last message arrived
	// listeningSince is when this coordinator started to expect messages from each VM.
	listeningSince map[topology.VMID]mono.Time
	// frozen holds the latest confirmation of each closed row; see Frozen.
	frozen map[topology.GroupID]rowConfirmation
	// lastTakeover is when this VM last took groups over from each coordinator.
	lastTakeover map[topology.VMID]mono.Time
	// leavingVMs holds the incarnations of VMs that announced that they are leaving.
	leavingVMs map[topology.VMID]topology.Incarnation
	starved    map[topology.TargetID]mono.Time // until when some VM counts as short of connections to each target
	storeSeen  mono.Time
	// positions are shared with the other VMs, nil if none are; samples holds those that this VM
	// sends.
	positions Positions
	samples   map[topology.GroupID]routing.Sample
	// storeRegained is when a read of the store last succeeded after earlier ones had failed.
	storeRegained mono.Time
	// storeReported is when a coordinator last reported that it reaches the store. As long as such
	// reports arrive, this VM does not query the store itself.
	storeReported mono.Time
	reading       bool
	lastRead      mono.Time
	// probeStore requests a read of the store, to find out whether it answers.
	probeStore bool
	// registered is a version of the store at which this VM was registered; zero if none is known.
	registered metastore.Version
	// readFailures is the number of consecutive failed reads.
	readFailures int
	// lastAdopted is when a new row was last adopted.
	lastAdopted mono.Time
	// promised is set once a coordinator has given a promise. rightWanted is when a caller last
	// lacked a right.
	promised    bool
	rightWanted mono.Time
	// connectedSince is the time since which this VM has held at least one right without a gap.
	connectedSince mono.Time
	// cutOffSince is the time since which this VM has held no right; cutOffLogged is set once that
	// was logged.
	cutOffSince  mono.Time
	cutOffLogged bool
	// outOfTouch is set when no right has been renewed recently enough; see OutOfTouch. Unlike a VM
	// that is cut off, one that is only out of touch still holds a right or has just lost it.
	outOfTouch bool
	// leaving is set once this VM has begun to shut down.
	leaving bool
	// changed is closed and replaced to wake the callers that wait for a right.
	changed chan struct{}
}

// renewalState tracks the renewals sent to one coordinator.
type renewalState struct {
	sequence uint64
	sent     mono.Time
	// sentAt holds the send times of the latest renewals by sequence number.
	sentAt map[uint64]mono.Time
}

// New returns a Lead that holds no right. The VM must already be registered in the store.
func New(o Options) *Lead {
	self := o.Directory.Self()
	l := &Lead{
		Options:             o,
		self:                self,
		started:             o.Clock.Now(),
		holder:              lease.NewHolder(),
		coordinator:         lease.NewCoordinator(self.ID, self.Incarnation),
		allocator:           quota.NewAllocator(),
		slots:               slotDivision{dividers: map[topology.TargetID]*slotshare.Divider{}},
		stored:              map[topology.GroupID]storedRow{},
		reports:             map[topology.GroupID]map[topology.VMID]report{},
		renewals:            map[topology.VMID]*renewalState{},
		coordinatorState:    map[topology.VMID]coordinatorState{},
		inquiries:           map[topology.VMID]*inquiry{},
		changing:            map[topology.GroupID]bool{},
		replacing:           map[topology.GroupID]bool{},
		primaryMissingSince: map[topology.GroupID]mono.Time{},
		lagState:            map[topology.GroupID]lagState{},
		members:             map[topology.GroupID]memberState{},
		leaderChecks:        map[topology.GroupID]leaderCheck{},
		removedMembers:      map[topology.GroupID]map[topology.TargetID]bool{},
		pending:             map[topology.GroupID]Promotion{},
		unanswered:          map[topology.GroupID]map[topology.TargetID]mono.Time{},
		unsettled:           map[topology.GroupID]map[topology.TargetID]mono.Time{},
		following:           newFollowing(),
		subscribed:          map[topology.VMID][]topology.GroupID{},
		firstSeen:           map[topology.GroupID]mono.Time{},
		lastMessage:         map[topology.VMID]mono.Time{},
		listeningSince:      map[topology.VMID]mono.Time{},
		frozen:              map[topology.GroupID]rowConfirmation{},
		lastTakeover:        map[topology.VMID]mono.Time{},
		leavingVMs:          map[topology.VMID]topology.Incarnation{},
		starved:             map[topology.TargetID]mono.Time{},
		changed:             make(chan struct{}),
	}
	l.logs = newTargetLogs(l)
	return l
}

// Run runs the Lead until ctx ends.
func (l *Lead) Run(ctx context.Context) {
	watcher := &directory.Watcher{
		Store: l.Store, Table: Table, Clock: l.Clock, Log: l.Log,
		All: l.applyListing, Change: l.applyChange, Seen: l.storeAnswered, Wait: l.watchWait,
		ChangeDelay: l.WatchDelay, Feed: directory.OwnRows, Relay: l.Directory.Relay(), Peers: l.Peers,
	}
	go watcher.Run(ctx)
	go l.Transport.Serve(ctx, l.handle)
	ticker := wait.NewTicker(ctx, tickPeriod)
	defer ticker.Stop()
	for {
		l.tick(ctx)
		select {
		case <-ticker.C:
		case <-l.urgentUsage():
			l.expediteUsage()
		case <-ctx.Done():
			return
		}
	}
}

// watchWait returns the wait time of a watch, which is shorter for a coordinator.
func (l *Lead) watchWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coordinator.Groups()) > 0 {
		return CoordinatorWatch
	}
	return l.Directory.WatchWait(longestWatch)
}

// WatchDelay returns how long a watch pauses after a change. A coordinator's pause is short: as long
// as too few witnesses answer it, its promises rely on its own reads, and it relays the changes of
// targets to the other VMs.
func (l *Lead) WatchDelay() time.Duration {
	pause := l.Directory.ChangeDelay()
	if l.Coordinates() {
		return min(pause, coordinatorWatchPause)
	}
	return pause
}

// Coordinates reports whether this VM coordinates any group.
func (l *Lead) Coordinates() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.coordinator.Groups()) > 0
}

// storeLost reports whether the store has not answered for longer than a watch may take.
func (l *Lead) storeLost(now mono.Time) bool {
	wait := CoordinatorWatch
	if len(l.coordinator.Groups()) == 0 {
		wait = l.Directory.WatchWait(longestWatch)
	}
	return now.Sub(max(l.storeSeen, l.storeReported)) > wait+storeLostSlack
}

// Leave hands this VM's groups over to another VM before it shuts down. From then on it starts no
// replacement of a primary, and its answers announce that it is leaving.
func (l *Lead) Leave(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	groups := l.coordinator.Groups()
	l.mu.Unlock()
	if len(groups) == 0 {
		return
	}
	// The duty goes first: its next holder reads the store when it receives its first group. If it
	// still read this VM as the holder, it would hand the group back to the leaving VM.
	next := l.successor()
	l.giveDuty(ctx, next)
	l.handOver(ctx, groups, next)
}

func (l *Lead) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

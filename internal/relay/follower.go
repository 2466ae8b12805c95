package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/stall"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Periods of spreading. A change is in force everywhere after a relay's next
// poll and one answered watch.
const (
	// pollPeriod of a relay: 9 relays in each of 24 data centres make 432 reads/s.
	// A longer one slows failovers down where announcements do not get through:
	// promoters then hear of each change of the list by a poll.
	pollPeriod = 500 * time.Millisecond
	// pollTimeout is how long the platform may be silent in a read; in an outage it frees the
	// loop for the peers. All rows, as a start reads them, may take longer to come.
	pollTimeout = time.Second
	// watchWait of the others.
	watchWait = 3 * time.Second
	// watchSlack is added to it before a watch counts as lost.
	watchSlack = time.Second
	// staleSource is the platform's age at a source from which the next source is
	// asked instead. Failure: the other relay of this data centre answers well,
	// but has lost the platform as this one has, and no change ever comes.
	staleSource = 2 * time.Second
	// retryPause after a source failed.
	retryPause = 200 * time.Millisecond
)

// Directory names the sources of a daemon.
type Directory interface {
	// IsRelay tells whether this VM reads the platform for its data centre.
	IsRelay() bool
	// Relays returns the VMs to watch, the best first: the relays of this data
	// centre, then some of others, for when this one has lost the platform.
	Relays() []topology.VM
}

// Follower keeps a store fresh.
type Follower struct {
	Self      topology.VM
	Store     *Store
	Table     platform.Table
	Directory Directory
	Peers     *peers.Table
	// Seeds are asked while no other VM is known and the platform is out.
	Seeds []peerpb.Relay
	Log   *slog.Logger

	next      int           // the source that a watch tries next
	sourceAge time.Duration // of the platform at the source that answered last
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Directory.IsRelay() {
			f.pollOrWatch(ctx)
			wait.For(ctx, pollPeriod)
			continue
		}
		if !f.watch(ctx, watchWait) {
			f.poll(ctx)
			wait.For(ctx, retryPause)
		}
	}
}

// pollOrWatch asks another relay when the platform does not answer: this data
// centre alone may have lost it.
func (f *Follower) pollOrWatch(ctx context.Context) {
	if !f.poll(ctx) && !f.watch(ctx, 0) {
		f.askSeeds(ctx)
	}
}

// askSeeds takes what the seeds hold, all of them: of each row the newest is
// kept, so a daemon that starts in an outage has the highest version of the
// configuration that any of them holds.
func (f *Follower) askSeeds(ctx context.Context) {
	if len(f.Directory.Relays()) > 0 {
		return
	}
	for _, seed := range f.Seeds {
		if !f.watchAt(ctx, seed, 0) {
			continue
		}
		f.Log.Warn("event=started_from_peers", "revision", f.Store.Revision(), "platform_age", f.Store.PlatformAge(time.Now()))
	}
}

func (f *Follower) poll(ctx context.Context) bool {
	ctx = stall.With(ctx, stall.Limits{HeaderTimeout: pollTimeout, ReadTimeout: pollTimeout})
	began := time.Now()
	rows, revision, err := f.Table.Scan(ctx, "", f.Store.Revision())
	if err != nil {
		f.Log.Debug("event=platform_unreachable", "error", err)
		return false
	}
	f.Store.Reached(began)
	f.Store.Apply(rows, revision, began)
	return true
}

// watch asks one source; a failed one has the next asked next time.
func (f *Follower) watch(ctx context.Context, wait time.Duration) bool {
	relays := f.Directory.Relays()
	if len(relays) == 0 {
		return false
	}
	vm := relays[f.next%len(relays)]
	answered := f.watchAt(ctx, f.Peers.Get(vm), wait)
	if !answered || f.sourceAge > staleSource {
		f.next++
	}
	return answered
}

func (f *Follower) watchAt(ctx context.Context, source peerpb.Relay, wait time.Duration) bool {
	ctx = stall.With(ctx, stall.Limits{HeaderTimeout: wait + watchSlack, ReadTimeout: watchSlack})
	resp, err := source.Watch(ctx, &peerpb.WatchRequest{
		Vm:          string(f.Self.ID),
		Incarnation: uint64(f.Self.Incarnation),
		Revision:    f.Store.Revision(),
		WaitMs:      uint32(wait.Milliseconds()),
	})
	if err != nil {
		return false
	}
	f.sourceAge = time.Duration(resp.PlatformAgeMs) * time.Millisecond
	f.Store.Reached(time.Now().Add(-f.sourceAge))
	f.Store.Apply(RowsFrom(resp.Rows), resp.Revision, time.Time{})
	return true
}

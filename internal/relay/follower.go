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

// Periods and limits of the spreading of rows. A change is in force everywhere after a relay's next
// poll and one answered watch.
const (
	// pollPeriod is how often a relay reads the platform: 9 relays in each of 24 data centres make
	// 432 reads/s. A longer period slows failovers down where announcements do not get through:
	// promoters there learn of each change of the list by a poll.
	pollPeriod = 500 * time.Millisecond
	// pollTimeout is how long the platform may be silent during a read; in an outage it lets the
	// loop go on to the peers. A read of all rows, as at a start, may take longer in total.
	pollTimeout = time.Second
	// watchWait is the wait of the watches of the other daemons.
	watchWait = 3 * time.Second
	// watchSlack is added to the wait before a watch counts as lost.
	watchSlack = time.Second
	// maxSourceAge is how long ago a source may have reached the platform before the next source is
	// asked instead. Without it, a relay that has lost the platform keeps asking the other relay of
	// its data centre, which answers but has lost the platform too, and no change ever comes.
	maxSourceAge = 2 * time.Second
	// retryDelay is the delay after a source failed.
	retryDelay = 200 * time.Millisecond
)

// Directory provides the sources that a daemon reads rows from.
type Directory interface {
	// IsRelay reports whether this VM reads the platform for its data centre.
	IsRelay() bool
	// Relays returns the VMs to watch, the best first: the relays of this data centre, then some of
	// others, for when this data centre has lost the platform.
	Relays() []topology.VM
}

// Follower keeps a store up to date.
type Follower struct {
	Self      topology.VM
	Store     *Store
	Table     platform.Table
	Directory Directory
	Peers     *peers.Table
	// Seeds are asked while no other VM is known and the platform is unreachable.
	Seeds []peerpb.Relay
	Log   *slog.Logger

	next      int           // index of the source that the next watch asks
	sourceAge time.Duration // how long ago the source that answered last reached the platform
}

// Run updates the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Directory.IsRelay() {
			f.pollOrWatch(ctx)
			wait.For(ctx, pollPeriod)
			continue
		}
		if !f.watch(ctx, watchWait) {
			f.poll(ctx)
			wait.For(ctx, retryDelay)
		}
	}
}

// pollOrWatch reads the platform and, if that does not answer, asks another relay: perhaps only
// this data centre has lost it.
func (f *Follower) pollOrWatch(ctx context.Context) {
	if !f.poll(ctx) && !f.watch(ctx, 0) {
		f.askSeeds(ctx)
	}
}

// askSeeds reads the rows of all seeds, not only of the first one that answers: the store keeps the
// newest version of each row, so a daemon that starts in an outage has the highest version of the
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
	f.Store.NoteReached(began)
	f.Store.Apply(rows, revision, began)
	return true
}

// watch asks one source. The next call asks the next source if this one fails or has not reached the
// platform for maxSourceAge.
func (f *Follower) watch(ctx context.Context, wait time.Duration) bool {
	relays := f.Directory.Relays()
	if len(relays) == 0 {
		return false
	}
	vm := relays[f.next%len(relays)]
	answered := f.watchAt(ctx, f.Peers.Get(vm), wait)
	if !answered || f.sourceAge > maxSourceAge {
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
	f.Store.NoteReached(time.Now().Add(-f.sourceAge))
	f.Store.Apply(RowsFrom(resp.Rows), resp.Revision, time.Time{})
	return true
}

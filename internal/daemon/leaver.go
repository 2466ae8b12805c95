package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// leaverPeriod is how soon a target's leaving mark is noticed.
	leaverPeriod = 250 * time.Millisecond
	// finishTime is how long new requests of a primary are held off for the open
	// ones to end; then they are let in again and the switchover tried later.
	finishTime = 3 * time.Second
	// settleTime is how long a row may take until a replica can be promoted.
	settleTime = 5 * time.Second
	// promoteTime is how long the successor may take.
	promoteTime = 5 * time.Second
	// switchPoll is how often either is looked at.
	switchPoll = 5 * time.Millisecond
	// switchPause between two switchovers of a group that did not come about.
	switchPause = 2 * time.Second
)

// leaver switches groups over whose primary leaves, and those that an operator
// names.
type leaver struct {
	view   *view.View
	pooler *pooler.Pooler
	driver *failover.Driver
	log    *slog.Logger

	mu     sync.Mutex
	active map[topology.GroupID]bool
}

func newLeaver(v *view.View, p *pooler.Pooler, d *failover.Driver, log *slog.Logger) *leaver {
	return &leaver{view: v, pooler: p, driver: d, log: log, active: map[topology.GroupID]bool{}}
}

// tick starts a switchover for each leaving primary that this VM pools.
func (l *leaver) tick(ctx context.Context) {
	conf := l.view.Config()
	if conf == nil {
		return
	}
	for _, part := range l.view.Assignments() {
		row := l.view.Group(part.Group)
		if row == nil || !poolsPrimary(part, row) {
			continue
		}
		if t, ok := conf.Target(row.Primary); !ok || !t.Leaving || !l.begin(part.Group) {
			continue
		}
		go func() {
			defer l.end(part.Group)
			if _, failure := l.switchOver(ctx, part.Group, ""); failure != nil {
				l.log.Warn("event=switchover_failed", "group", part.Group, "error", failure)
				wait.For(ctx, switchPause)
			}
		}()
	}
}

func poolsPrimary(part failover.Assignment, row *topology.Group) bool {
	for _, id := range part.Targets {
		if id == row.Primary {
			return true
		}
	}
	return false
}

func (l *leaver) begin(id topology.GroupID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[id] {
		return false
	}
	l.active[id] = true
	return true
}

func (l *leaver) end(id topology.GroupID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, id)
}

// Switchover is an operator's; to may be empty for the best replica. It returns
// the term of the new primary.
func (l *leaver) Switchover(ctx context.Context, group topology.GroupID, to topology.TargetID) (uint64, *result.Error) {
	if !l.begin(group) {
		return 0, result.New(result.Leaving, "a switchover of %s is under way", group).After(switchPause)
	}
	defer l.end(group)
	row := l.view.Group(group)
	if row == nil {
		return 0, result.New(result.NotFound, "group %s", group)
	}
	if vm, ok := l.view.PoolerOf(row.Primary); !ok || vm.ID != l.view.Self().ID {
		return 0, result.New(result.WrongPooler, "%s is pooled by %s", row.Primary, vm.ID)
	}
	return l.switchOver(ctx, group, to)
}

// switchOver holds off new requests at the primary, waits for those under way,
// and has the replica promoted. Open transactions end first: the right ends with
// the drain, and their commits would be refused.
func (l *leaver) switchOver(ctx context.Context, group topology.GroupID, to topology.TargetID) (uint64, *result.Error) {
	row := l.view.Group(group)
	if row == nil {
		return 0, result.New(result.NotFound, "group %s", group)
	}
	to, failure := l.awaitSuccessor(ctx, group, to)
	if failure != nil {
		return 0, failure
	}
	row = l.view.Group(group)
	if to == row.Primary {
		return row.Term, nil
	}
	begun := time.Now()
	l.pooler.SetPaused(row.Primary, true)
	defer l.pooler.SetPaused(row.Primary, false)
	if !poll(ctx, finishTime, func() bool { return l.pooler.Running(row.Primary) == 0 }) {
		return 0, result.New(result.TooManyInFlight, "%s: %d requests or transactions did not end", row.Primary, l.pooler.Running(row.Primary))
	}
	if failure := l.driver.Switchover(group, to); failure != nil {
		return 0, failure
	}
	l.driver.Drained(group)
	changed := func() bool { return l.view.Group(group).Term > row.Term }
	if !poll(ctx, promoteTime, changed) {
		return 0, result.New(result.TargetSilent, "%s was not promoted in time", to)
	}
	now := l.view.Group(group)
	l.log.Info("event=switchover", "group", group, "from", row.Primary, "to", now.Primary, "term", now.Term, "took", time.Since(begun))
	return now.Term, nil
}

// awaitSuccessor waits for a replica that can be promoted at once. Failure: soon
// after a promotion or a handover the row's lists are still being settled; with
// writes held off then, callers wait for as long as that takes.
func (l *leaver) awaitSuccessor(ctx context.Context, group topology.GroupID, wanted topology.TargetID) (to topology.TargetID, failure *result.Error) {
	poll(ctx, settleTime, func() bool {
		row := l.view.Group(group)
		to, failure = successor(l.view.Config(), row, wanted)
		return failure == nil && len(row.Unsettled) == 0
	})
	return to, failure
}

// successor picks the replica to promote: the wanted one, or the first that
// holds every acknowledged write and stays.
func successor(conf *config.View, row *topology.Group, wanted topology.TargetID) (topology.TargetID, *result.Error) {
	if wanted == row.Primary {
		return wanted, nil
	}
	for _, p := range row.Promoters {
		t, ok := conf.Target(p.Replica)
		fits := wanted == p.Replica || wanted == ""
		if ok && fits && !t.Leaving && authority.Complete(row, p.Replica) {
			return p.Replica, nil
		}
	}
	if wanted != "" {
		return "", result.New(result.NotFound, "%s is no complete replica of %s that stays", wanted, row.ID)
	}
	return "", result.New(result.NotFound, "%s has no complete replica that stays", row.ID)
}

// poll reports whether done came true in time.
func poll(ctx context.Context, limit time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() {
		if !wait.For(ctx, switchPoll) {
			return false
		}
	}
	return true
}

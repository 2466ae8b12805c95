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
	// leavingCheckPeriod is how often the primaries are checked for the leaving mark.
	leavingCheckPeriod = 250 * time.Millisecond
	// requestDrainTimeout is how long new requests to a primary are paused while open ones
	// finish. After it new requests are admitted again; the switchover fails
	// and is retried later.
	requestDrainTimeout = 3 * time.Second
	// successorTimeout is how long to wait until the row has a replica that can be
	// promoted at once.
	successorTimeout = 5 * time.Second
	// promotionTimeout is how long the promotion of the successor may take.
	promotionTimeout = 5 * time.Second
	// switchoverPollPeriod is how often the conditions of these waits are checked.
	switchoverPollPeriod = 5 * time.Millisecond
	// switchoverRetryDelay is the delay before a group's failed switchover is retried.
	switchoverRetryDelay = 2 * time.Second
)

// switchovers switches over groups whose primary is leaving, and groups that an operator
// names.
type switchovers struct {
	view   *view.View
	pooler *pooler.Pooler
	driver *failover.Driver
	log    *slog.Logger

	mu     sync.Mutex
	active map[topology.GroupID]bool
}

func newSwitchovers(v *view.View, p *pooler.Pooler, d *failover.Driver, log *slog.Logger) *switchovers {
	return &switchovers{view: v, pooler: p, driver: d, log: log, active: map[topology.GroupID]bool{}}
}

// tick starts a switchover for each leaving primary that this VM pools.
func (s *switchovers) tick(ctx context.Context) {
	conf := s.view.Config()
	if conf == nil {
		return
	}
	for _, part := range s.view.Assignments() {
		row := s.view.Group(part.Group)
		if row == nil || !poolsPrimary(part, row) {
			continue
		}
		if t, ok := conf.Target(row.Primary); !ok || !t.Leaving || !s.begin(part.Group) {
			continue
		}
		go func() {
			defer s.end(part.Group)
			if _, failure := s.switchOver(ctx, part.Group, ""); failure != nil {
				s.log.Warn("event=switchover_failed", "group", part.Group, "error", failure)
				wait.For(ctx, switchoverRetryDelay)
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

func (s *switchovers) begin(id topology.GroupID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[id] {
		return false
	}
	s.active[id] = true
	return true
}

func (s *switchovers) end(id topology.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}

// Switchover runs a switchover that an operator requested and returns the term of
// the new primary. If to is empty, successor chooses the replica.
func (s *switchovers) Switchover(ctx context.Context, group topology.GroupID, to topology.TargetID) (uint64, *result.Error) {
	if !s.begin(group) {
		return 0, result.New(result.Leaving, "a switchover of %s is under way", group).After(switchoverRetryDelay)
	}
	defer s.end(group)
	row := s.view.Group(group)
	if row == nil {
		return 0, result.New(result.NotFound, "group %s", group)
	}
	if vm, ok := s.view.PoolerOf(row.Primary); !ok || vm.ID != s.view.Self().ID {
		return 0, result.New(result.WrongPooler, "%s is pooled by %s", row.Primary, vm.ID)
	}
	return s.switchOver(ctx, group, to)
}

// switchOver pauses new requests at the primary, waits for the running ones, and
// has the replica promoted. It waits for open transactions too, because the right
// ends with the drain and their commits would be refused.
func (s *switchovers) switchOver(ctx context.Context, group topology.GroupID, to topology.TargetID) (uint64, *result.Error) {
	row := s.view.Group(group)
	if row == nil {
		return 0, result.New(result.NotFound, "group %s", group)
	}
	to, failure := s.awaitSuccessor(ctx, group, to)
	if failure != nil {
		return 0, failure
	}
	row = s.view.Group(group)
	if to == row.Primary {
		return row.Term, nil
	}
	start := time.Now()
	s.pooler.SetPaused(row.Primary, true)
	defer s.pooler.SetPaused(row.Primary, false)
	if !pollUntil(ctx, requestDrainTimeout, func() bool { return s.pooler.Running(row.Primary) == 0 }) {
		return 0, result.New(result.TooManyInFlight, "%s: %d requests or transactions did not end", row.Primary, s.pooler.Running(row.Primary))
	}
	if failure := s.driver.Switchover(group, to); failure != nil {
		return 0, failure
	}
	s.driver.Drained(group)
	changed := func() bool { return s.view.Group(group).Term > row.Term }
	if !pollUntil(ctx, promotionTimeout, changed) {
		return 0, result.New(result.TargetSilent, "%s was not promoted in time", to)
	}
	now := s.view.Group(group)
	s.log.Info("event=switchover", "group", group, "from", row.Primary, "to", now.Primary, "term", now.Term, "took", time.Since(start))
	return now.Term, nil
}

// awaitSuccessor waits for a replica that can be promoted at once, before writes
// are paused. Shortly after a promotion or a handover the lists in the row are
// still unsettled; if writes were paused then, callers would wait until the lists
// are settled.
func (s *switchovers) awaitSuccessor(ctx context.Context, group topology.GroupID, wanted topology.TargetID) (to topology.TargetID, failure *result.Error) {
	pollUntil(ctx, successorTimeout, func() bool {
		row := s.view.Group(group)
		to, failure = successor(s.view.Config(), row, wanted)
		return failure == nil && len(row.Unsettled) == 0
	})
	return to, failure
}

// successor chooses the replica to promote: the wanted one or, if wanted is empty, the
// first in the list. It must have every acknowledged write and must not be leaving.
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

// pollUntil calls done until it returns true or the limit expires, and reports whether
// it returned true.
func pollUntil(ctx context.Context, limit time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() {
		if !wait.For(ctx, switchoverPollPeriod) {
			return false
		}
	}
	return true
}

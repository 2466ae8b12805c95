package entry

import (
	"context"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// fetchResult is the result of a position fetch for one of the reads that waited for
// it.
type fetchResult struct {
	newest  position.Position
	session position.Position // floor of the read's session; newest if it has none
	err     *result.Error
}

// waiter is a read that waits for a position fetch.
type waiter struct {
	session string
	result  chan fetchResult
}

// floorTable holds the position fetches of all groups and the reads that wait for
// them.
type floorTable struct {
	fetches *routing.FloorFetches
	waiters map[topology.GroupID]map[routing.WaiterID]waiter
	nextID  routing.WaiterID
}

func newFloorTable() floorTable {
	return floorTable{
		fetches: routing.NewFloorFetches(),
		waiters: map[topology.GroupID]map[routing.WaiterID]waiter{},
	}
}

// fetchFloor asks the primary's pooler for the newest position and, when session
// is not empty, for the session's floor. The fetch never starts before the call, and
// is shared with the other waiting reads of the group.
func (r *router) fetchFloor(ctx context.Context, group topology.GroupID, session string) (fetchResult, *result.Error) {
	key := routing.FetchKey{Group: group}
	w := waiter{session: session, result: make(chan fetchResult, 1)}
	r.mu.Lock()
	r.floors.nextID++
	id := r.floors.nextID
	if r.floors.waiters[group] == nil {
		r.floors.waiters[group] = map[routing.WaiterID]waiter{}
	}
	r.floors.waiters[group][id] = w
	start := r.floors.fetches.Arrive(r.clock.Now(), key, id)
	r.mu.Unlock()
	if start != nil {
		go r.runFetches(*start)
	}
	select {
	case got := <-w.result:
		return got, got.err
	case <-ctx.Done():
		r.cancelFloor(key, id)
		return fetchResult{}, result.New(result.DeadlineInQueue, "no position of %s in time", group).After(defaultRetryAfter)
	}
}

func (r *router) cancelFloor(key routing.FetchKey, id routing.WaiterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.floors.fetches.Cancel(key, id)
	delete(r.floors.waiters[key.Group], id)
}

// runFetches runs a fetch and then, one by one, the fetches that endFetch returns.
func (r *router) runFetches(start routing.StartFetch) {
	for next := &start; next != nil; {
		sessions := r.sessionsOfWaiters(next.Key.Group)
		begun := r.clock.Now()
		resp, failure := r.readPosition(next.Key.Group, sessions)
		next = r.endFetch(*next, sessions, begun, resp, failure)
	}
}

// sessionsOfWaiters returns the sessions of the group's waiting reads.
func (r *router) sessionsOfWaiters(group topology.GroupID) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	var sessions []string
	for _, w := range r.floors.waiters[group] {
		if w.session != "" && !seen[w.session] {
			seen[w.session] = true
			sessions = append(sessions, w.session)
		}
	}
	return sessions
}

func (r *router) readPosition(group topology.GroupID, sessions []string) (*peerpb.PositionResponse, *result.Error) {
	row := r.view.Group(group)
	if row == nil {
		return nil, result.New(result.NoPrimary, "%s", group).After(defaultRetryAfter)
	}
	vm, ok := r.view.PoolerOf(row.Primary)
	if !ok {
		return nil, result.New(result.PoolerUnreachable, "no VM for %s", row.Primary).After(defaultRetryAfter)
	}
	ctx, cancel := r.positionContext(context.Background())
	defer cancel()
	resp, err := r.peers.Get(vm).ReadPosition(ctx, &peerpb.PositionRequest{
		Group:    string(group),
		Target:   string(row.Primary),
		Term:     row.Term,
		Sessions: sessions,
	})
	if err != nil {
		failure := peers.HopResult(vm, err)
		failure.Code = result.PoolerUnreachable
		failure.Ran = result.NotRun // Reading a position executes nothing.
		return nil, failure
	}
	return resp, peers.Result(resp.Failure)
}

// endFetch delivers the result to the reads that waited for it. It returns the next
// fetch, or nil if no read needs one.
func (r *router) endFetch(f routing.StartFetch, sessions []string, begun mono.Time, resp *peerpb.PositionResponse, failure *result.Error) *routing.StartFetch {
	newest := peers.Position(resp.GetPosition())
	floors := map[string]position.Position{}
	for i, s := range sessions {
		if i < len(resp.GetFloors()) {
			floors[s] = peers.Position(resp.Floors[i])
		}
	}
	if row := r.view.Group(f.Key.Group); row != nil && failure == nil {
		r.addSample(row, begun, newest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if failure != nil {
		err = failure
	}
	released, next := r.floors.fetches.Done(r.clock.Now(), f.Key, f.ID, newest, err)
	for _, id := range released.Waiters {
		w, ok := r.floors.waiters[f.Key.Group][id]
		if !ok {
			continue
		}
		delete(r.floors.waiters[f.Key.Group], id)
		sessionFloor, known := floors[w.session]
		if !known {
			sessionFloor = newest
		}
		w.result <- fetchResult{newest: newest, session: sessionFloor, err: failure}
	}
	return next
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Waits of a read at a replica that is behind.
const floorWait = 20 * time.Millisecond

// destination is where an attempt goes.
type destination struct {
	target topology.TargetID
	pooler topology.VM
	term   uint64
	floor  position.Position
}

// route runs the request where it may run and returns the whole answer.
func (s *session) route(req *request) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), req.class.Deadline.Std())
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	if s.tx != nil {
		d := destination{target: s.tx.target, pooler: s.tx.pooler, term: s.tx.term}
		return s.attempt(ctx, req, d, true)
	}
	var last *result.Error
	for left := req.class.MaxAttempts; left > 0; left-- {
		if last != nil {
			s.server.o.Metrics.Retry(s.options.member, req.class.Name)
		}
		d, failure := s.choose(ctx, req, last != nil)
		if failure == nil {
			var resp *peerpb.ExecuteResponse
			resp, failure = s.attemptWithin(ctx, req, d, left)
			if failure == nil {
				return resp, nil
			}
		}
		last = failure
		if failure.Ran != result.NotRun && req.class.Kind == config.Write {
			return nil, failure
		}
	}
	return nil, last
}

// choose picks the primary for writes and, for reads, a replica first.
func (s *session) choose(ctx context.Context, req *request, again bool) (destination, *result.Error) {
	v := s.server.o.View
	row := v.Group(req.group)
	if row == nil {
		return destination{}, result.New(result.NoPrimary, "%s", req.group).After(comeBack)
	}
	d := destination{target: row.Primary, term: row.Term}
	if req.class.Kind == config.Read && !again {
		floor, failure := s.floor(ctx, req, row)
		if failure != nil {
			return d, failure
		}
		d = s.replica(row, floor)
	}
	vm, ok := v.PoolerOf(d.target)
	if !ok {
		return d, result.New(result.PoolerUnreachable, "no VM for %s", d.target).After(comeBack)
	}
	d.pooler = vm
	return d, nil
}

// floor is the position that the request's target must hold. A session that may
// roam, and a class that wants the newest, ask the primary; the question begins
// after the request arrived, so it covers whatever was acknowledged before.
func (s *session) floor(ctx context.Context, req *request, row *topology.Group) (position.Position, *result.Error) {
	if s.options.session == "" && req.class.Staleness > 0 {
		return s.floors[row.ID], nil
	}
	vm, ok := s.server.o.View.PoolerOf(row.Primary)
	if !ok {
		return position.Position{}, result.New(result.PoolerUnreachable, "no VM for %s", row.Primary).After(comeBack)
	}
	resp, err := s.server.o.Peers.Get(vm).ReadPosition(ctx, &peerpb.PositionRequest{
		Group:   string(row.ID),
		Target:  string(row.Primary),
		Term:    row.Term,
		Session: s.options.session,
	})
	if err != nil {
		return position.Position{}, peers.HopResult(vm, err)
	}
	if failure := peers.Result(resp.Failure); failure != nil {
		return position.Position{}, failure
	}
	return peers.Position(resp.Floor), nil
}

func (s *session) replica(row *topology.Group, floor position.Position) destination {
	conf := s.server.o.View.Config()
	g, _ := conf.Group(row.ID)
	var replicas []topology.TargetID
	for _, t := range g.Targets {
		if t.ID != row.Primary {
			replicas = append(replicas, t.ID)
		}
	}
	if len(replicas) == 0 {
		return destination{target: row.Primary, term: row.Term}
	}
	return destination{target: replicas[rand.IntN(len(replicas))], floor: floor}
}

// attemptWithin gives a read an equal share of the time left: a target that
// hangs would else use up the whole deadline, and the caller get no answer that
// another target could have given. A write has one attempt that may run.
func (s *session) attemptWithin(ctx context.Context, req *request, d destination, left int) (*peerpb.ExecuteResponse, *result.Error) {
	if req.class.Kind == config.Read {
		deadline, _ := ctx.Deadline()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
		defer cancel()
	}
	return s.attempt(ctx, req, d, false)
}

// attempt sends the request to one pooler.
func (s *session) attempt(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	self := s.server.o.View.Self()
	deadline, _ := ctx.Deadline()
	hop := &peerpb.ExecuteRequest{
		HopId:            s.server.hopID.Add(1),
		Entry:            string(self.ID),
		EntryIncarnation: uint64(self.Incarnation),
		Group:            string(req.group),
		Target:           string(d.target),
		Term:             d.term,
		Member:           s.options.member,
		Service:          s.options.service,
		Class:            req.class.Name,
		CallerRequestId:  s.options.requestID,
		Session:          s.options.session,
		DeadlineMs:       uint32(time.Until(deadline).Milliseconds()),
		Floor:            peers.PositionTo(d.floor),
		FloorWaitMs:      uint32(floorWait.Milliseconds()),
		Transaction:      s.number,
		InTransaction:    inTransaction,
		Messages:         req.messages,
		Write:            req.class.Kind == config.Write,
		Syncs:            req.syncs,
	}
	resp, err := s.server.o.Peers.Get(d.pooler).Execute(ctx, hop)
	if err != nil {
		return nil, peers.HopResult(d.pooler, err)
	}
	if resp.HopId != hop.HopId {
		return nil, result.New(result.InvariantBroken, "answer %d to request %d", resp.HopId, hop.HopId)
	}
	if failure := peers.Result(resp.Failure); failure != nil {
		return nil, failure
	}
	s.measureServed(req, d)
	s.noteTransaction(req, d, byte(resp.TxStatus))
	return resp, nil
}

// noteTransaction remembers where the session's open transaction runs.
func (s *session) noteTransaction(req *request, d destination, status byte) {
	if status == pgwire.Idle {
		s.tx = nil
		return
	}
	s.tx = &transaction{
		group:  req.group,
		target: d.target,
		pooler: d.pooler,
		term:   d.term,
		write:  req.class.Kind == config.Write,
	}
}

// releaseTimeout bounds the message that frees a transaction; its pooler frees
// it by itself after the idle time-out when the message is lost.
const releaseTimeout = time.Second

// releaseTransaction frees the connection of a transaction that the session
// leaves open.
func (s *session) releaseTransaction() {
	if s.tx == nil {
		return
	}
	tx := s.tx
	s.tx = nil
	self := s.server.o.View.Self()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := s.server.o.Peers.Get(tx.pooler).Release(ctx, &peerpb.ReleaseRequest{
		Entry:            string(self.ID),
		EntryIncarnation: uint64(self.Incarnation),
		Target:           string(tx.target),
		Transaction:      s.number,
	})
	if err != nil {
		s.server.o.Log.Info("event=release_failed", "target", tx.target, "error", err)
	}
}

package gateway

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// retryPause between attempts where nothing ran: about one statement's time.
	retryPause = 10 * time.Millisecond
	// behindPause after a refusal of a replica that lags: what is known of it now tells when
	// it is worth asking again, but not to less than a usual commit's way to it.
	behindPause = 5 * time.Millisecond
	// comeBack is when a caller whose request found no target in time may return:
	// most failovers are over within a second.
	comeBack = 500 * time.Millisecond
)

// sessionFloor is the position that the session's own writes ask for.
func (r *request) sessionFloor() position.Position {
	if r.class.Reads != directory.OwnWrites {
		return position.Position{}
	}
	r.settledFloors()
	return r.floors.Floor(r.class.Group)
}

// readAnywhere runs a read at the replica or primary that serves it soonest and holds
// what it must see. A read changes nothing, so it is tried again elsewhere when a
// target fails.
func (r *request) readAnywhere() statement.Answer {
	var last, busy *result.Error
	tried := map[topology.TargetID]bool{}
	for r.left(sendReserve) && r.ctx.Err() == nil {
		c, failure := r.server.router.chooseRead(&r.class, r.sessionFloor(), r.patience(), tried)
		if failure != nil {
			last = failure
			if r.server.Rights.CutOff() || r.ageLacksForLong(failure) || r.server.router.lacksTarget(&r.class, failure, needTarget) {
				break
			}
			if busy != nil && r.hopeless() {
				last = busy
				break
			}
			r.beforeNextRead(failure, tried)
			continue
		}
		r.server.router.has(r.class.Group, needAge)
		r.pause(c.catchUp)
		answer, failure := r.readAt(c)
		if failure == nil {
			return answer
		}
		last = failure
		if failure.Code == result.DeadlineExceeded {
			break
		}
		if overloaded(failure) {
			busy = failure
		}
		r.passOver(c, failure, answer.Position, tried)
	}
	return statement.Fail(refuse(last), r.state())
}

// ageLacksForLong reports whether no age could be shown for long and none is in sight. With a right for
// the primary the request first asks for a position itself: where requests come seldom, the last one that
// lacked it may be of an outage long over.
func (r *request) ageLacksForLong(failure *result.Error) bool {
	if failure.Code != result.AgeNotShown {
		return false
	}
	if !r.server.router.lacks(r.class.Group, needAge) {
		return false
	}
	_, held := r.server.Rights.Right(r.class.Group)
	asked := r.askedPosition
	r.askedPosition = true
	return asked || !held
}

// hopelessShare of its class's objective is how long a request tries to get in at targets
// that refuse for their load. It answers the load that lasts and exceeds what they can do: they
// serve as many whatever the requests' age, so those that go on trying take the place of ones
// that would still be answered in time. One that gets in waits about as long again in the
// target's own queue.
const hopelessShare = 0.5

// hopeless reports whether the request has tried for too long to be answered in time.
func (r *request) hopeless() bool {
	return r.class.Objective > 0 && r.patience() == 0
}

// patience is for how long the request may still try, or wait, to be answered in time.
func (r *request) patience() time.Duration {
	patience := time.Duration(hopelessShare * float64(r.class.Objective))
	return max(0, patience-r.server.Clock.Now().Sub(r.begun))
}

// overloaded reports whether a target had no time for the request.
func overloaded(e *result.Error) bool {
	switch e.Code {
	case result.QueueFull, result.DeadlineInQueue, result.TargetBusy:
		return true
	}
	return false
}

// passOver keeps a target that failed from being tried again, unless it is a replica that lags
// and is expected to hold what it must soon: then it or the primary is next, whichever is sooner.
func (r *request) passOver(c choice, failure *result.Error, holds position.Position, tried map[topology.TargetID]bool) {
	if failure.Code == result.ReplicaBehind && r.server.router.lags(r.class.Group, c, holds) > 0 {
		r.pause(behindPause)
		return
	}
	tried[c.pool.Target().ID] = true
}

// beforeNextRead waits for what a read lacked: a position of the primary, or targets
// that were tried and may serve again.
func (r *request) beforeNextRead(failure *result.Error, tried map[topology.TargetID]bool) {
	if failure.Code == result.AgeNotShown {
		r.server.router.awaitSample(r.ctx, r.class.Group)
		r.pause(time.Millisecond)
		return
	}
	clear(tried)
	r.pause(retryPause)
}

func (r *request) pause(d time.Duration) { wait.For(r.ctx, d) }

// readAt runs the read at one target. The target itself refuses it if its log lacks
// the floor.
func (r *request) readAt(c choice) (statement.Answer, *result.Error) {
	t := c.pool.Target()
	r.note(t.ID)
	link, failure := r.acquire(c.pool)
	if failure != nil {
		return statement.Answer{}, failure
	}
	defer link.Release()
	answer, err := r.run(link, c.floor, yields)
	if err != nil {
		return answer, r.lost(t.ID, err)
	}
	if answer.Failure != nil {
		return answer, answer.Failure
	}
	r.server.router.learn(r.class.Group, t.ID, answer.Position)
	answer.State = r.state()
	return answer, nil
}

// persistence says what follows when a target refuses a statement for its load.
type persistence bool

const (
	// insists: the statement is sent again on the same connection.
	insists persistence = true
	// yields: the refusal is the answer.
	yields persistence = false
)

// run sends the statement over a connection that has the session's values.
func (r *request) run(link *target.Link, after position.Position, p persistence) (statement.Answer, error) {
	wall := r.wall()
	if err := link.ApplyValues(wall, r.context.Values()); err != nil {
		return statement.Answer{}, notSent{err}
	}
	cmd := target.Command{Kind: target.Caller, ID: r.st.ID, Text: r.st.Text, After: after, Insist: p == insists}
	if r.st.Kind == statement.Execute {
		name, err := link.EnsurePrepared(wall, r.prepared)
		if err != nil {
			return statement.Answer{}, notSent{err}
		}
		cmd.Kind, cmd.Name, cmd.Value = target.Execute, name, r.st.Arguments
	}
	return link.Run(wall, cmd)
}

// notSent is a failure before the caller's statement was sent: it has not run.
type notSent struct{ error }

func (e notSent) Unwrap() error { return e.error }

// refuse makes sure that a failure says when to come back, and is a refusal.
func refuse(e *result.Error) *result.Error {
	if e == nil {
		return result.New(result.DeadlineInQueue, "no target in time").After(comeBack)
	}
	if e.Ran == result.NotRun && e.RetryAfter == 0 {
		return e.After(comeBack)
	}
	return e
}

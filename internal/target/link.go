package target

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// maxPreparedPerLink bounds the prepared statements of one connection; beyond it
// the connection is reset.
const maxPreparedPerLink = 200

const (
	// insistPause is about how long a statement that insists waits after a refusal: as long
	// as a statement takes at a target. It is drawn, so that VMs that were refused together
	// don't meet again.
	insistPause = 10 * time.Millisecond
	// insistReserve is what is left of its time at least when it is sent again: about as long as
	// a target with a full queue takes.
	insistReserve = 100 * time.Millisecond
)

// Link is a connection that one request or transaction holds.
type Link struct {
	pool *Pool
	conn Conn
	// customer for whose requests the link was opened; shared: it serves all customers of its lane.
	customer topology.CustomerID
	shared   bool
	lane     lane
	// values and prepared are what the connection has been given.
	values   map[string]string
	prepared map[string]bool
	// open: a transaction is open at the target.
	open bool
	// broken: the connection can't be used any more.
	broken bool
	// unfinished: the answer to the last command was not waited for to its end.
	unfinished bool
	// turn is the request that holds the link.
	turn waitlist.Request
	// taken is when the link was given out, after its request had waited for it.
	taken  mono.Time
	waited time.Duration
	// sent is when the command under way was sent; 0: none is.
	sent mono.Time
	// freed is when the link was last given back.
	freed mono.Time
}

// give hands the link to a request that has waited for it.
func (l *Link) give(r waitlist.Request, now mono.Time, waited time.Duration) {
	l.turn, l.taken, l.waited = r, now, waited
}

// Run sends a command and notes what its answer tells of the target.
func (l *Link) Run(deadline time.Time, c Command) (statement.Answer, error) {
	for {
		a, err := l.runOnce(deadline, c)
		if err != nil || !c.Insist || a.Failure == nil || a.Failure.Code != result.TargetBusy {
			return a, err
		}
		pause := insistPause/2 + rand.N(insistPause) //nolint:gosec // Spreads load only.
		if time.Now().Add(pause + insistReserve).After(deadline) {
			return a, nil
		}
		time.Sleep(pause)
	}
}

func (l *Link) runOnce(deadline time.Time, c Command) (statement.Answer, error) {
	if l.opensWork(c.Kind) {
		if refusal := l.pool.admit(l.waited); refusal != nil {
			return statement.Answer{Failure: refusal, State: statement.Idle}, nil
		}
	}
	begun := l.pool.begin(l)
	c.Priority, c.Useful = l.turn.Priority, max(l.turn.Useful.Sub(begun), 1)
	c.Customer, c.Anyone = l.turn.Customer, l.turn.Anyone
	a, err := l.conn.Run(deadline, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.unfinished = true
		return a, err
	}
	l.pool.end(l, begun, a.Failure, err)
	if err != nil {
		l.broken = true
		return a, err
	}
	l.open = a.State != statement.Idle
	return a, nil
}

// own runs a command of the system, which must succeed.
func (l *Link) own(deadline time.Time, c Command) error {
	c.ID = statement.OwnID
	a, err := l.Run(deadline, c)
	if err != nil {
		return err
	}
	if a.Failure != nil {
		return a.Failure
	}
	return nil
}

// Adapt gives the connection the session's values. Connections are shared between
// sessions: without it a statement would run under another session's values.
func (l *Link) Adapt(deadline time.Time, values map[string]string) error {
	for name := range l.values {
		if _, ok := values[name]; ok {
			continue
		}
		if err := l.reset(deadline); err != nil {
			return err
		}
		break
	}
	for name, value := range values {
		if present, ok := l.values[name]; ok && present == value {
			continue
		}
		if err := l.own(deadline, Command{Kind: Set, Name: name, Value: value}); err != nil {
			l.broken = true // Which of the values it has is not known.
			return err
		}
		if l.values == nil {
			l.values = map[string]string{}
		}
		l.values[name] = value
	}
	return nil
}

func (l *Link) reset(deadline time.Time) error {
	if err := l.own(deadline, Command{Kind: Reset}); err != nil {
		l.broken = true
		return err
	}
	l.values, l.prepared = nil, nil
	return nil
}

// Ensure prepares a statement under a name that is the same for all sessions, so
// that names of two sessions can't collide, and returns that name.
func (l *Link) Ensure(deadline time.Time, p statement.Prepared) (string, error) {
	name := sharedName(p)
	if l.prepared[name] {
		return name, nil
	}
	if len(l.prepared) >= maxPreparedPerLink && !l.open {
		values := l.values
		if err := l.reset(deadline); err != nil {
			return "", err
		}
		if err := l.Adapt(deadline, values); err != nil {
			return "", err
		}
	}
	kind := PrepareRead
	if p.Writes {
		kind = PrepareWrite
	}
	if err := l.own(deadline, Command{Kind: kind, Name: name, Value: p.Shape}); err != nil {
		l.broken = true
		return "", err
	}
	if l.prepared == nil {
		l.prepared = map[string]bool{}
	}
	l.prepared[name] = true
	return name, nil
}

// sharedName is short, and differs for each shape and kind.
func sharedName(p statement.Prepared) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Shape)) // A hash never fails.
	prefix := "r"
	if p.Writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(h.Sum64(), 36)
}

// Begin opens a transaction; the target refuses unless it holds after.
func (l *Link) Begin(deadline time.Time, readOnly bool, after position.Position) error {
	c := Command{Kind: Begin, After: after}
	if readOnly {
		c.Kind = BeginReadOnly
	}
	return l.own(deadline, c)
}

// Position asks for the target's newest position, without taking a slot.
func (l *Link) Position(deadline time.Time) (position.Position, error) {
	a, err := l.Run(deadline, Command{Kind: Reset, ID: statement.OwnID})
	if err != nil {
		l.broken = true // Whether it was, or will be, cleared is not known.
		return position.Position{}, err
	}
	if a.Failure != nil {
		l.broken = true
		return position.Position{}, a.Failure
	}
	l.values, l.prepared = nil, nil
	return a.Position, nil
}

// finishTimeout is how long a late answer is waited for before its connection is
// closed. The target works on the statement in any case; closing would have it open
// another connection, which takes a slot for longer than most statements: a target would stay
// overloaded after the load has gone.
const finishTimeout = 1500 * time.Millisecond

// finish reads a late answer, so that the connection can be used again.
func (l *Link) finish() {
	a, err := l.conn.Finish(time.Now().Add(finishTimeout))
	l.pool.end(l, l.sent, a.Failure, err)
	l.unfinished = false
	l.broken = l.broken || err != nil
	l.open = err == nil && a.State != statement.Idle
}

// rollbackTimeout bounds the roll-back of a transaction that its caller left.
const rollbackTimeout = 500 * time.Millisecond

// Release gives the connection back. A transaction that is still open is rolled
// back first; a connection on which that fails is closed, which rolls back, too. It
// does not wait for a late answer.
func (l *Link) Release() {
	if l.unfinished {
		go func() {
			l.finish()
			l.Release()
		}()
		return
	}
	if l.open && !l.broken {
		if err := l.own(time.Now().Add(rollbackTimeout), Command{Kind: Rollback}); err != nil {
			l.pool.log.Info("event=rollback_failed", "target", l.pool.target.ID, "error", err, "outcome", "connection_closed")
			l.broken = true
		}
		l.broken = l.broken || l.open
	}
	l.pool.release(l)
}

// Broken reports whether the connection can't be used any more.
func (l *Link) Broken() bool { return l.broken }

// Open reports whether a transaction is open at the target.
func (l *Link) Open() bool { return l.open }

// refusalOf turns a failed dial into a result.
func refusalOf(err error, target string) *result.Error {
	e := result.From(err)
	if e.Code == result.Internal {
		return result.New(result.TargetUnreachable, "%s: %v", target, err)
	}
	return e
}

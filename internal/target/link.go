package target

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	// insistPause is the average pause before a command with Insist is sent again after a
	// refusal: about as long as a statement takes at a target. The pause is randomized, so that
	// VMs that were refused at the same time don't retry at the same time.
	insistPause = 10 * time.Millisecond
	// insistReserve is the least time that must remain before the deadline for another try:
	// about as long as a target with a full queue takes to answer.
	insistReserve = 100 * time.Millisecond
)

// ErrNoDigest is returned for a success without the digest with which a target proves that it has run a statement. The
// answer may belong to another command, so it isn't known whether the statement ran.
var ErrNoDigest = errors.New("target: success without a digest")

// Link is a pooled connection, which one request or transaction holds at a time.
type Link struct {
	pool *Pool
	conn Conn
	// customer is the customer for whose requests the link was opened. indirect is set if the link
	// leads to a holder and serves all customers of its subpool.
	customer topology.CustomerID
	indirect bool
	subpool  subpool
	// values are the session values set on the connection, prepared the names of its prepared
	// statements.
	values   map[string]string
	prepared statement.Names
	// inTransaction is set while a transaction is open at the target. It is changed under the pool's lock and only by
	// the request that holds the link.
	inTransaction bool
	// broken is set if the connection can't be used any more.
	broken bool
	// answerPending is set if the answer to the last command didn't come before its deadline.
	answerPending bool
	// request is the request that holds the link.
	request waitlist.Request
	// acquiredAt is when the request got the link, and waited how long it had waited for it.
	acquiredAt mono.Time
	waited     time.Duration
	// sentAt is when the running command was sent, or 0 if none is running.
	sentAt mono.Time
	// releasedAt is when the link was last released.
	releasedAt mono.Time
	// used is set once a request has held the link.
	used bool
	// usesSlot is set while a statement of the request is in flight, since slotUsedSince. slotTime is how long its
	// earlier ones were. All three are guarded by the pool's lock.
	usesSlot      bool
	slotUsedSince mono.Time
	slotTime      time.Duration
}

// assignTo gives the link to a request that has waited for it.
func (l *Link) assignTo(r waitlist.Request, now mono.Time, waited time.Duration) {
	l.pool.noteGranted(l)
	l.request, l.acquiredAt, l.waited = r, now, waited
	l.useSlot(now)
}

// Run runs a command and updates the target's health and saturation by its answer. A command with Insist is
// sent again while the target refuses it because of its load: in its turn if the statements in flight are limited, and
// otherwise at short intervals.
func (l *Link) Run(deadline time.Time, c Command) (statement.Answer, error) {
	for {
		a, err := l.runOnce(deadline, c)
		if err != nil || !c.Insist || a.Failure == nil || a.Failure.Code != result.TargetBusy {
			return a, err
		}
		if inTurn, limited := l.pool.awaitTurn(l, deadline.Add(-insistReserve)); limited {
			if !inTurn {
				return a, nil
			}
			continue
		}
		pause := insistPause/2 + rand.N(insistPause) //nolint:gosec // Spreads load only.
		if time.Now().Add(pause + insistReserve).After(deadline) {
			return a, nil
		}
		time.Sleep(pause)
	}
}

func (l *Link) runOnce(deadline time.Time, c Command) (statement.Answer, error) {
	if l.startsWork(c.Kind) {
		if refusal := l.pool.admit(l.waited); refusal != nil {
			return statement.Answer{Failure: refusal, State: statement.Idle}, nil
		}
	}
	begun := l.pool.beginCommand(l)
	c.Priority, c.Useful = l.request.Priority, max(l.request.Useful.Sub(begun), 1)
	c.Customer, c.Anyone = l.request.Customer, l.request.Anyone
	a, err := l.conn.Run(deadline, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.answerPending = true
		return a, err
	}
	l.pool.endCommand(l, begun, a.Failure, err)
	if err != nil {
		l.broken = true
		return a, err
	}
	l.setInTransaction(a.State != statement.Idle)
	l.pool.commandAnswered(l, begun, c.Kind, a.Failure)
	if c.Kind == Execute && a.Failure != nil && a.Failure.Code == result.UnknownStatement {
		l.broken = true // The target has forgotten what was prepared on the connection.
	}
	if isStatement(c.Kind) && a.Failure == nil && a.Digest == "" {
		l.broken = true
		l.pool.log.Warn("event=success_without_digest", "request", c.ID, "target", l.pool.target.ID, "outcome", "connection_closed")
		return a, ErrNoDigest
	}
	return a, nil
}

// runInternal runs a command of the proxy's own, and returns a failure of the command as an error.
func (l *Link) runInternal(deadline time.Time, c Command) error {
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

// ApplyValues sets the session's values on the connection and clears all others. Connections are
// shared between sessions: without it a statement would run with another session's values.
func (l *Link) ApplyValues(deadline time.Time, values map[string]string) error {
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
		if err := l.runInternal(deadline, Command{Kind: Set, Name: name, Value: value}); err != nil {
			l.broken = true // It isn't known whether the value was set.
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
	if err := l.runInternal(deadline, Command{Kind: Reset}); err != nil {
		l.broken = true
		return err
	}
	l.cleared()
	return nil
}

// cleared records that the connection has neither values nor prepared statements.
func (l *Link) cleared() {
	l.values = nil
	l.prepared.Clear()
}

// EnsurePrepared prepares a statement unless the connection has it already, and returns its name on the
// connection. Names chosen by two sessions could collide.
func (l *Link) EnsurePrepared(deadline time.Time, p statement.Prepared) (string, error) {
	if name, ok := l.prepared.Lookup(p); ok {
		return name, nil
	}
	if err := l.makeRoomFor(deadline, p); err != nil {
		return "", err
	}
	kind := PrepareRead
	if p.Writes {
		kind = PrepareWrite
	}
	name := l.prepared.Next()
	if err := l.runInternal(deadline, Command{Kind: kind, Name: name, Value: p.Shape}); err != nil {
		l.broken = true // It isn't known whether the statement was prepared.
		return "", err
	}
	l.prepared.Add(p, name)
	return name, nil
}

// makeRoomFor resets a connection that would have too many prepared statements. It refuses a statement in a
// transaction, whose values and statements a reset would clear.
func (l *Link) makeRoomFor(deadline time.Time, p statement.Prepared) error {
	switch {
	case !l.prepared.IsFull(p, l.inTransaction):
		return nil
	case l.inTransaction:
		return result.New(result.BadOption, "too many prepared statements for one transaction")
	}
	values := l.values
	if err := l.reset(deadline); err != nil {
		return err
	}
	return l.ApplyValues(deadline, values)
}

// Begin opens a transaction. The target refuses it unless its log contains the position after.
func (l *Link) Begin(deadline time.Time, readOnly bool, after position.Position) error {
	c := Command{Kind: Begin, After: after}
	if readOnly {
		c.Kind = BeginReadOnly
	}
	if err := l.runInternal(deadline, c); err != nil {
		return err
	}
	if !l.inTransaction {
		l.Discard()
		return result.New(result.TargetUnreachable, "%s opened no transaction", l.pool.target.ID)
	}
	return nil
}

// Position returns the target's newest position. It sends a reset, which takes no slot at the target and
// clears the connection's values and prepared statements.
func (l *Link) Position(deadline time.Time) (position.Position, error) {
	a, err := l.Run(deadline, Command{Kind: Reset, ID: statement.OwnID})
	if err != nil {
		l.broken = true // It isn't known whether the connection was, or will be, cleared.
		return position.Position{}, err
	}
	if a.Failure != nil {
		l.broken = true
		return position.Position{}, a.Failure
	}
	l.cleared()
	return a.Position, nil
}

// finishTimeout bounds the wait for a late answer before its connection is closed. The
// target runs the statement in any case. A closed connection has to be replaced by a new
// one, the opening of which takes a slot for longer than most statements: a target would
// stay overloaded after the load has gone.
const finishTimeout = 1500 * time.Millisecond

// finish reads a late answer, so that the connection can be used again.
func (l *Link) finish() {
	a, err := l.conn.Finish(time.Now().Add(finishTimeout))
	l.pool.endCommand(l, l.sentAt, a.Failure, err)
	l.answerPending = false
	l.broken = l.broken || err != nil
	l.setInTransaction(err == nil && a.State != statement.Idle)
}

func (l *Link) setInTransaction(open bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.inTransaction = open
}

// rollbackTimeout bounds the rollback of a transaction that its caller abandoned.
const rollbackTimeout = 500 * time.Millisecond

// Release returns the connection to the pool. A transaction that is still open is rolled
// back first; if that fails, the connection is closed, which rolls it back as well. A late
// answer is read in the background.
func (l *Link) Release() {
	if l.answerPending {
		go func() {
			l.finish()
			l.Release()
		}()
		return
	}
	if l.inTransaction && !l.broken {
		if err := l.runInternal(time.Now().Add(rollbackTimeout), Command{Kind: Rollback}); err != nil {
			l.pool.log.Info("event=rollback_failed", "target", l.pool.target.ID, "error", err, "outcome", "connection_closed")
			l.broken = true
		}
		l.broken = l.broken || l.inTransaction
	}
	l.pool.release(l)
}

// Discard has the connection closed on release.
func (l *Link) Discard() { l.broken = true }

// Broken reports whether the connection can't be used any more.
func (l *Link) Broken() bool { return l.broken }

// InTransaction reports whether a transaction is open at the target.
func (l *Link) InTransaction() bool { return l.inTransaction }

// dialError converts the error of a failed dial to a result error.
func dialError(err error, target string) *result.Error {
	e := result.From(err)
	if e.Code == result.Internal {
		return result.New(result.TargetUnreachable, "%s: %v", target, err)
	}
	return e
}

package pooler

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Names of the parameters that a target reports or takes.
const (
	parameterPosition  = "buckthornshore.position"
	parameterCommitted = "buckthornshore.committed"
	parameterControl   = "buckthornshore.control"
)

// maxServerMessage bounds one answer that the pooler asks for itself, in bytes.
const maxServerMessage = 1 << 20

// Dialer opens connections; the daemon's own may map addresses between networks.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connSettings are what a connection is bound to at its target.
type connSettings struct {
	term     uint64 // 0: not bound to a term
	readOnly bool
}

// conn is one connection to a target. It is used by one request at a time.
type conn struct {
	net      net.Conn
	reader   *bufio.Reader
	settings connSettings
	position position.Position // as last reported
	lastUsed time.Time
	pid      uint32
	secret   []byte
	// tainted: a cancel request may still arrive for it; never reused.
	tainted bool
	// altered: a statement changed the session at the target.
	altered bool
	// unbound: a statement reset the settings that bind it.
	unbound bool
}

// answer is what a target sent for one unit.
type answer struct {
	messages []byte // raw backend frames
	status   byte   // of the last ReadyForQuery
	// committed is where the connection's own commit lies; zero without one.
	committed position.Position
	sqlState  string // of the first ErrorResponse; "" without one
}

// dial connects and waits until the target is ready.
func dial(ctx context.Context, d Dialer, address string, parameters map[string]string) (*conn, error) {
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{net: nc, reader: bufio.NewReader(nc), lastUsed: time.Now()}
	if err := c.startUp(ctx, parameters); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *conn) startUp(ctx context.Context, parameters map[string]string) error {
	c.setDeadline(ctx)
	all := map[string]string{"user": "buckthornshore", "application_name": "buckthornshore"}
	for k, v := range parameters {
		all[k] = v
	}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: all}
	out, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.net.Write(out); err != nil {
		return err
	}
	a, err := c.readAnswer(1, maxServerMessage)
	if err != nil {
		return err
	}
	if a.status == 0 {
		return &targetError{state: a.sqlState}
	}
	return nil
}

// targetError is an ErrorResponse of the target to the pooler itself.
type targetError struct{ state string }

// Error names the state.
func (e *targetError) Error() string { return "target refused: SQLSTATE " + e.state }

// setDeadline bounds all I/O by the context's deadline.
func (c *conn) setDeadline(ctx context.Context) {
	deadline, _ := ctx.Deadline() // The zero time means no deadline.
	_ = c.net.SetDeadline(deadline)
}

// exchange sends out and reads until syncs ReadyForQuery have come. After an
// error the connection must be closed: an answer that still comes would be
// taken for the next request's.
func (c *conn) exchange(ctx context.Context, out []byte, syncs, limit int) (answer, error) {
	c.setDeadline(ctx)
	if _, err := c.net.Write(out); err != nil {
		return answer{}, err
	}
	a, err := c.readAnswer(syncs, limit)
	c.lastUsed = time.Now()
	return a, err
}

// readAnswer collects frames. An error during start-up ends the connection
// without a ReadyForQuery: then the status stays 0.
func (c *conn) readAnswer(syncs, limit int) (answer, error) {
	var a answer
	for syncs > 0 {
		start := len(a.messages)
		buf, frame, err := pgwire.Append(c.reader, a.messages, limit)
		if err != nil {
			return a, err
		}
		a.messages = buf
		keep, err := c.observe(frame, &a)
		if err != nil {
			return a, err
		}
		if !keep {
			a.messages = a.messages[:start]
		}
		switch frame.Type() {
		case pgwire.TypeReadyForQuery:
			syncs--
		case pgwire.TypeError:
			if c.pid == 0 {
				return a, nil
			}
		}
	}
	return a, nil
}

// observe notes what the pooler needs from a frame; keep is false for frames
// that are not part of the caller's answer.
func (c *conn) observe(frame pgwire.Frame, a *answer) (keep bool, err error) {
	switch frame.Type() {
	case pgwire.TypeReadyForQuery:
		if len(frame.Body()) != 1 {
			return false, pgwire.ErrBadFrame
		}
		a.status = frame.Body()[0]
	case pgwire.TypeError:
		if a.sqlState == "" {
			a.sqlState = pgwire.SQLState(frame)
		}
	case pgwire.TypeParameterStatus:
		return false, c.observeParameter(frame, a)
	case pgwire.TypeCommandComplete:
		c.noteCommand(frame.Body())
	case pgwire.TypeCopyIn, pgwire.TypeCopyOut, pgwire.TypeCopyBoth:
		// The target waits for, or sends, data that has no place in a whole
		// answer; both sides would wait until the deadline.
		return false, errCopy
	case 'K':
		return false, c.observeKey(frame)
	case pgwire.TypeNotification:
		return false, nil
	}
	return true, nil
}

func (c *conn) observeParameter(frame pgwire.Frame, a *answer) error {
	name, value, ok := strings.Cut(string(frame.Body()), "\x00")
	if !ok {
		return pgwire.ErrBadFrame
	}
	if name != parameterPosition && name != parameterCommitted {
		return nil
	}
	p, err := position.Parse(strings.TrimSuffix(value, "\x00"))
	if err != nil {
		return errors.Wrap(err, "target's position")
	}
	if name == parameterCommitted {
		a.committed = p
		return nil
	}
	c.position = p
	return nil
}

func (c *conn) observeKey(frame pgwire.Frame) error {
	var key pgproto3.BackendKeyData
	if err := key.Decode(frame.Body()); err != nil {
		return err
	}
	c.pid = key.ProcessID
	c.secret = append([]byte(nil), key.SecretKey...)
	return nil
}

// query runs one simple query of the pooler's own.
func (c *conn) query(ctx context.Context, sql string) (answer, error) {
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return answer{}, err
	}
	return c.exchange(ctx, out, 1, maxServerMessage)
}

// bind brings the connection's settings to want with one round trip, or none
// when they are so already. The round trip is not pipelined with the request:
// were the binding to fail, the request behind it would run unguarded.
func (c *conn) bind(ctx context.Context, want connSettings) error {
	if c.unbound {
		c.settings = connSettings{readOnly: !want.readOnly} // Send them all again.
	}
	if c.settings == want {
		return nil
	}
	altered := c.altered // By the open transaction.
	var sql strings.Builder
	if c.settings.term != want.term {
		sql.WriteString("SET buckthornshore.term = '" + termValue(want.term) + "'; ")
	}
	if c.settings.readOnly != want.readOnly {
		sql.WriteString("SET default_transaction_read_only = '" + onOff(want.readOnly) + "'; ")
	}
	a, err := c.query(ctx, sql.String())
	if err != nil {
		return err
	}
	if a.sqlState != "" {
		return &targetError{state: a.sqlState}
	}
	c.settings = want
	c.altered, c.unbound = altered, false
	return nil
}

// termValue of 0 unties the connection from any term.
func termValue(term uint64) string {
	if term == 0 {
		return ""
	}
	return strconv.FormatUint(term, 10)
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// verify asks the target for a sign of life; a connection that something
// between the two ends has lost track of stays silent.
func (c *conn) verify(ctx context.Context) error {
	out, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = c.exchange(ctx, out, 1, maxServerMessage)
	return err
}

func (c *conn) close() { c.net.Close() }

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

// Names of the parameters that a target reports or accepts.
const (
	parameterPosition  = "buckthornshore.position"
	parameterCommitted = "buckthornshore.committed"
	parameterControl   = "buckthornshore.control"
)

// maxServerMessage bounds the answer to one of the pooler's own queries, in bytes.
const maxServerMessage = 1 << 20

// Dialer opens connections. The daemon's implementation may map addresses between
// networks.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connSettings are the session settings that bind a connection at its target.
type connSettings struct {
	term     uint64 // 0 if not bound to a term
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
	// tainted is set when a cancel request may still arrive for the connection,
	// which is then never reused.
	tainted bool
	// altered is set when a statement changed the session at the target.
	altered bool
	// unbound is set when a statement reset the settings in connSettings.
	unbound bool
}

// answer is what a target sent in response to one unit, which is the messages of
// one request.
type answer struct {
	messages []byte // raw backend frames
	status   byte   // of the last ReadyForQuery
	// committed is the position of the connection's own commit; zero if there was none.
	committed position.Position
	sqlState  string // of the first ErrorResponse; "" if there was none
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
	withIdentity := map[string]string{"user": "buckthornshore", "application_name": "buckthornshore"}
	for k, v := range parameters {
		withIdentity[k] = v
	}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: withIdentity}
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

// targetError is an ErrorResponse that the target sent to one of the pooler's own
// queries or during start-up.
type targetError struct{ state string }

// Error implements error.
func (e *targetError) Error() string { return "target refused: SQLSTATE " + e.state }

// setDeadline bounds all I/O by the context's deadline.
func (c *conn) setDeadline(ctx context.Context) {
	deadline, _ := ctx.Deadline() // The zero time means no deadline.
	_ = c.net.SetDeadline(deadline)
}

// exchange sends out and reads until it has received syncs ReadyForQuery messages.
// After an error the connection must be closed, because a late answer would be
// taken for the answer to the next request.
func (c *conn) exchange(ctx context.Context, out []byte, syncs, limit int) (answer, error) {
	c.setDeadline(ctx)
	if _, err := c.net.Write(out); err != nil {
		return answer{}, err
	}
	a, err := c.readAnswer(syncs, limit)
	c.lastUsed = time.Now()
	return a, err
}

// readAnswer reads frames until it has received syncs ReadyForQuery messages. An
// error during start-up ends the connection without a ReadyForQuery; the status is
// then 0.
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

// observe records what the pooler needs from a frame. keep is false for frames
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
		// The target now expects or sends a stream of data, which a single
		// complete answer can't carry; both sides would wait until the deadline.
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

// query runs one of the pooler's own queries with the simple query protocol.
func (c *conn) query(ctx context.Context, sql string) (answer, error) {
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return answer{}, err
	}
	return c.exchange(ctx, out, 1, maxServerMessage)
}

// bind sets the connection's settings to want with one round trip, or with none if
// they already match. The round trip is not pipelined with the request: if the
// binding failed, the request behind it would run without its term or read-only
// setting.
func (c *conn) bind(ctx context.Context, want connSettings) error {
	if c.unbound {
		c.settings = connSettings{readOnly: !want.readOnly} // Send them all again.
	}
	if c.settings == want {
		return nil
	}
	altered := c.altered // Set by the open transaction, if any; the SET below sets it too.
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

// termValue returns the setting's text for the term. For 0 it is empty, which
// unbinds the connection from any term.
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

// verify checks with a Sync that the connection still works. A connection whose
// state was lost between the two ends, by a firewall or NAT for example, gets no
// answer.
func (c *conn) verify(ctx context.Context) error {
	out, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = c.exchange(ctx, out, 1, maxServerMessage)
	return err
}

func (c *conn) close() { c.net.Close() }

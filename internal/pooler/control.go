package pooler

import (
	"context"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// TargetStatus is the status that a target reports.
type TargetStatus struct {
	ID       topology.TargetID
	Role     string
	Term     uint64
	Position position.Position
	Primary  topology.TargetID
	// Surplus is the first position of the log that was truncated when the target
	// last rejoined its group; "" if nothing was truncated.
	Surplus  string
	Replicas map[topology.TargetID]position.Position
	// Active is the set of process ids of the connections that are running a
	// statement; nil if the target does not report it.
	Active map[uint32]bool
}

// Roles of a target.
const (
	RolePrimary    = "primary"
	RoleReplica    = "replica"
	RoleFenced     = "fenced"
	RoleUnassigned = "unassigned"
)

// Control is a target's control connection. It uses no slot and does not count
// towards the target's connection limit. Safe for concurrent use.
type Control struct {
	dialer  Dialer
	address string

	mu   sync.Mutex
	conn *conn
}

// NewControl returns a control connection that opens on first use.
func NewControl(d Dialer, address string) *Control {
	return &Control{dialer: d, address: address}
}

// Status returns the target's status.
func (c *Control) Status(ctx context.Context) (TargetStatus, error) {
	return c.run(ctx, "SHOW buckthornshore.status")
}

// Fence makes the target refuse every term below term and returns its status with
// its last position. Idempotent.
func (c *Control) Fence(ctx context.Context, term uint64) (TargetStatus, error) {
	return c.run(ctx, "BTS FENCE "+strconv.FormatUint(term, 10))
}

// Promote makes the target the primary of term. Idempotent.
func (c *Control) Promote(ctx context.Context, term uint64) (TargetStatus, error) {
	return c.run(ctx, "BTS PROMOTE "+strconv.FormatUint(term, 10))
}

// Follow makes the target a replica of primary in term. Idempotent.
func (c *Control) Follow(ctx context.Context, term uint64, primary topology.TargetID, address string) (TargetStatus, error) {
	sql := "BTS FOLLOW " + strconv.FormatUint(term, 10) + " " + string(primary) + " " + address
	return c.run(ctx, sql)
}

// terminate closes another connection to the target from the target's side; the
// connection is identified by its process id and secret.
func (c *Control) terminate(ctx context.Context, other *conn) error {
	sql := "BTS TERMINATE " + strconv.FormatUint(uint64(other.pid), 10) + " '" + hex.EncodeToString(other.secret) + "'"
	_, err := c.run(ctx, sql)
	if errors.Is(err, errNoStatus) {
		return nil
	}
	return err
}

// errNoStatus is returned when the answer to a control statement has no row.
var errNoStatus = errors.New("target sent no status")

// Probe queries the target's status on a new connection and returns it with the
// time taken. The connection is new because an existing one that gets no answer
// does not prove that the target is dead.
func Probe(ctx context.Context, d Dialer, address string) (TargetStatus, time.Duration, error) {
	begun := time.Now()
	c := NewControl(d, address)
	defer c.Close()
	s, err := c.Status(ctx)
	return s, time.Since(begun), err
}

// OpenProbe queries the target's status on a new connection, as Probe does, and
// returns the connection open if the target answers.
func OpenProbe(ctx context.Context, d Dialer, address string) (*Control, error) {
	c := NewControl(d, address)
	if _, err := c.Status(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Ping sends an empty query on the open connection; it does not open one. The answer
// is a sixth of the size of a status, and proves as well that the process is alive.
func (c *Control) Ping(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return errNotOpen
	}
	_, err := c.conn.query(ctx, "")
	return err
}

var errNotOpen = errors.New("the control connection is not open")

// Close closes the connection.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Control) drop() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// run sends one control statement. If the open connection fails, the statement is
// retried once on a new one, which is safe because control statements are
// idempotent.
func (c *Control) run(ctx context.Context, sql string) (TargetStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		s, err := c.tryWithHalfDeadline(ctx, sql)
		var refused *targetError
		if err == nil || errors.As(err, &refused) {
			return s, err
		}
		c.drop()
	}
	conn, err := dial(ctx, c.dialer, c.address, map[string]string{parameterControl: "on"})
	if err != nil {
		return TargetStatus{}, err
	}
	c.conn = conn
	s, err := c.try(ctx, sql)
	var refused *targetError
	if err != nil && !errors.As(err, &refused) {
		c.drop()
	}
	return s, err
}

// tryWithHalfDeadline sends a statement on a connection that may no longer work. It
// uses at most half of the time left, so that time remains for a new connection.
func (c *Control) tryWithHalfDeadline(ctx context.Context, sql string) (TargetStatus, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return c.try(ctx, sql)
}

func (c *Control) try(ctx context.Context, sql string) (TargetStatus, error) {
	a, err := c.conn.query(ctx, sql)
	if err != nil {
		return TargetStatus{}, err
	}
	if a.sqlState != "" {
		return TargetStatus{}, &targetError{state: a.sqlState}
	}
	return parseStatus(a.messages)
}

func parseStatus(messages []byte) (TargetStatus, error) {
	var names []string
	var s TargetStatus
	found := false
	err := pgwire.Split(messages, func(f pgwire.Frame) error {
		switch f.Type() {
		case 'T':
			var desc pgproto3.RowDescription
			if err := desc.Decode(f.Body()); err != nil {
				return err
			}
			for _, field := range desc.Fields {
				names = append(names, string(field.Name))
			}
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(f.Body()); err != nil {
				return err
			}
			found = true
			return s.fill(names, row.Values)
		}
		return nil
	})
	if err == nil && !found {
		err = errNoStatus
	}
	return s, err
}

func (s *TargetStatus) fill(names []string, values [][]byte) error {
	for i, name := range names {
		if i >= len(values) {
			break
		}
		if err := s.set(name, string(values[i])); err != nil {
			return errors.Wrapf(err, "status column %s", name)
		}
	}
	return nil
}

func (s *TargetStatus) set(name, value string) (err error) {
	switch name {
	case "id":
		s.ID = topology.TargetID(value)
	case "role":
		s.Role = value
	case "term":
		s.Term, err = strconv.ParseUint(value, 10, 64)
	case "position":
		s.Position, err = position.Parse(value)
	case "primary":
		s.Primary = topology.TargetID(value)
	case "surplus":
		s.Surplus = value
	case "replicas":
		s.Replicas, err = parseReplicas(value)
	case "active":
		s.Active, err = parseActive(value)
	}
	return err
}

func parseReplicas(value string) (map[topology.TargetID]position.Position, error) {
	replicas := map[topology.TargetID]position.Position{}
	for _, item := range strings.Split(value, ",") {
		id, at, ok := strings.Cut(item, "=")
		if !ok {
			continue
		}
		p, err := position.Parse(at)
		if err != nil {
			return nil, err
		}
		replicas[topology.TargetID(id)] = p
	}
	return replicas, nil
}

func parseActive(value string) (map[uint32]bool, error) {
	active := map[uint32]bool{}
	for _, word := range strings.FieldsFunc(value, func(r rune) bool { return r == ',' }) {
		pid, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return nil, err
		}
		active[uint32(pid)] = true
	}
	return active, nil
}

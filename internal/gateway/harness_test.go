package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/gateway"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The databases of the harness: one group with a primary and a replica.
const (
	group   = topology.GroupID("g")
	primary = topology.TargetID("p")
	replica = topology.TargetID("r")
)

// textCaller is a caller's connection in a text protocol for the tests. A statement is
// one line that starts with its kind; an answer is one line, too.
type textCaller struct {
	conn    net.Conn
	r       *bufio.Reader
	partial string
}

func newTextCaller(nc net.Conn) gateway.Caller {
	return &textCaller{conn: nc, r: bufio.NewReader(nc)}
}

func (c *textCaller) line() (string, error) {
	s, err := c.r.ReadString('\n')
	if err != nil {
		c.partial += s
		return "", err
	}
	s = c.partial + s
	c.partial = ""
	return strings.TrimSpace(s), nil
}

func (c *textCaller) Open() (gateway.Opening, error) {
	line, err := c.line()
	database, key, _ := strings.Cut(line, " ")
	return gateway.Opening{Database: database, Key: customer.KeyOf(key)}, err
}

func (c *textCaller) HasInput() bool { return c.partial != "" || c.r.Buffered() > 0 }
func (c *textCaller) Welcome() error { return c.writeLine("welcome") }
func (c *textCaller) Refuse(e *result.Error) error {
	return c.writeLine("refused " + e.Code.Name())
}

func (c *textCaller) writeLine(s string) error {
	_, err := io.WriteString(c.conn, s+"\n")
	return err
}

var kinds = map[string]statement.Kind{
	"begin": statement.Begin, "begin_read_only": statement.BeginReadOnly, "commit": statement.Commit,
	"rollback": statement.Rollback, "read": statement.Read, "write": statement.Write,
	"prepare": statement.Prepare, "execute": statement.Execute,
}

func (c *textCaller) Next() (*statement.Statement, *result.Error, error) {
	s, err := c.line()
	if err != nil {
		return nil, nil, err
	}
	word, rest, _ := strings.Cut(s, " ")
	st := &statement.Statement{ID: "id", Text: s, Kind: kinds[word], Arguments: rest}
	if st.Kind == statement.Prepare || st.Kind == statement.Execute {
		st.Name, st.Arguments, _ = strings.Cut(rest, " ")
		st.Shape, st.Writes = st.Arguments, true // All prepared statements of the tests write.
	}
	return st, nil, nil
}

func (c *textCaller) Answer(a statement.Answer) error {
	if a.Failure != nil {
		return c.writeLine(string(a.State) + " " + a.Failure.Code.Name() + " " + a.Failure.Ran.String())
	}
	return c.writeLine(string(a.State) + " ok " + a.Digest)
}

// database is a fake database.
type database struct {
	mu       sync.Mutex
	position position.Position
	ran      []string
	commands map[target.CommandKind]int
	// before is called before a statement of a caller runs. An error breaks the
	// connection; a failure is returned as the answer.
	before func(text string) (*result.Error, error)
	// noDigest is a statement of a caller that it answers without a digest.
	noDigest string
	// states are states that the connection gets before a statement of a caller. ignoresBegin is set if a begin is
	// answered but opens no transaction.
	states       map[string]statement.State
	ignoresBegin bool
	// prepared contains the names of prepared statements, by connection.
	prepared map[*databaseConn]map[string]bool
}

func (d *database) statements() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.ran, ", ")
}

// commandsOf returns how many commands of a kind it has run.
func (d *database) commandsOf(kind target.CommandKind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.commands[kind]
}

type databases map[topology.TargetID]*database

func (d databases) Dial(_ context.Context, t topology.Target, _ topology.CustomerID) (target.Conn, error) {
	return &databaseConn{database: d[t.ID], state: statement.Idle}, nil
}

type databaseConn struct {
	database *database
	state    statement.State
}

func (c *databaseConn) Close() {}

func (c *databaseConn) Finish(time.Time) (statement.Answer, error) {
	return statement.Answer{State: statement.Idle}, nil
}

func (c *databaseConn) Run(_ time.Time, cmd target.Command) (statement.Answer, error) {
	d := c.database
	if cmd.Kind == target.Caller && d.before != nil {
		failure, err := d.before(cmd.Text)
		if failure != nil || err != nil {
			return statement.Answer{Failure: failure, State: c.state, Position: d.position}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.commands == nil {
		d.commands = map[target.CommandKind]int{}
	}
	d.commands[cmd.Kind]++
	if d.position.Less(cmd.After) {
		return statement.Answer{Failure: result.New(result.ReplicaBehind, ""), State: c.state, Position: d.position}, nil
	}
	digest := ""
	switch cmd.Kind {
	case target.Begin, target.BeginReadOnly:
		if !d.ignoresBegin {
			c.state = statement.Open
		}
	case target.Rollback:
		c.state = statement.Idle
	case target.PrepareWrite:
		if d.prepared == nil {
			d.prepared = map[*databaseConn]map[string]bool{}
		}
		if d.prepared[c] == nil {
			d.prepared[c] = map[string]bool{}
		}
		d.prepared[c][cmd.Name] = true
	case target.Execute:
		if !d.prepared[c][cmd.Name] {
			return statement.Answer{Failure: result.New(result.UnknownStatement, ""), State: c.state, Position: d.position}, nil
		}
		d.ran, digest = append(d.ran, cmd.Text), "d"
	case target.Caller:
		d.ran = append(d.ran, cmd.Text)
		if s, ok := d.states[cmd.Text]; ok {
			c.state = s
		}
		if cmd.Text != d.noDigest {
			digest = "d"
		}
		if cmd.Text == "commit" {
			c.state = statement.Idle
		}
		if cmd.Text == "commit" || strings.HasPrefix(cmd.Text, "write") && c.state == statement.Idle {
			d.position.Index++
		}
	}
	return statement.Answer{Digest: digest, State: c.state, Position: d.position}, nil
}

// rights is a fake gateway.Rights, with which a test grants and revokes the right.
type rights struct {
	mu      sync.Mutex
	row     lease.Row
	held    bool
	cut     bool
	notKept bool
	changed chan struct{}
}

func (r *rights) set(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *rights) Right(topology.GroupID) (lease.Right, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lease.Right{Group: group, Term: r.row.Term, Primary: r.row.Primary}, r.held
}

func (r *rights) Await(ctx context.Context, g topology.GroupID) (lease.Right, bool) {
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if right, ok := r.Right(g); ok || r.CutOff() {
			return right, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lease.Right{}, false
		}
	}
}

func (r *rights) Confirm(want lease.Right) bool {
	got, ok := r.Right(group)
	return ok && got == want
}

// ConfirmCommit also refuses commits while notKept is set.
func (r *rights) ConfirmCommit(_ context.Context, want lease.Right, _ position.Position) error {
	r.mu.Lock()
	notKept := r.notKept
	r.mu.Unlock()
	if notKept || !r.Confirm(want) {
		return errors.New("not confirmed")
	}
	return nil
}

func (r *rights) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *rights) Frozen(topology.GroupID) (position.Position, mono.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.row.Handover == nil || !r.row.Handover.Complete {
		return position.Position{}, 0, false
	}
	return r.row.Handover.End, mono.System{}.Now(), true
}

func (r *rights) Row(topology.GroupID) *lease.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row
	return &row
}

// fixture is a server with the fakes that it runs on.
type fixture struct {
	t         *testing.T
	server    *gateway.Server
	databases databases
	directory *directory.Directory
	rights    *rights
	registry  *metrics.Registry
	address   string
}

const (
	statementTimeout = 400 * time.Millisecond
	// objective of the class that has one.
	objective = 100 * time.Millisecond
)

func start(t *testing.T, set ...func(*gateway.Options)) *fixture {
	t.Helper()
	f := &fixture{t: t, databases: databases{primary: {}, replica: {}}}
	f.rights = &rights{held: true, changed: make(chan struct{}), row: lease.Row{Group: group, Version: 1, Term: 1, Primary: primary}}
	for _, d := range f.databases {
		d.position = position.Position{Term: 1, Index: 1}
	}
	log := slog.New(slog.DiscardHandler)
	d := directory.New(topology.VM{ID: "vm", DataCentre: "dc"})
	f.directory = d
	d.SetConfiguration(&directory.Configuration{
		Version:         1,
		Connections:     map[topology.GroupID]int{group: 16},
		IdleTransaction: time.Minute,
		Classes: map[string]directory.Class{
			"newest":  {Database: "newest", Group: group, Reads: directory.Newest, StatementTimeout: statementTimeout},
			"own":     {Database: "own", Group: group, Reads: directory.OwnWrites, Staleness: time.Second, StatementTimeout: statementTimeout},
			"hasty":   {Database: "hasty", Group: group, Reads: directory.Newest, StatementTimeout: statementTimeout, Objective: objective},
			"bounded": {Database: "bounded", Group: group, Reads: directory.Bounded, Staleness: time.Second, StatementTimeout: statementTimeout},
		},
	})
	for _, id := range []topology.TargetID{primary, replica} {
		d.SetTarget(directory.Target{Target: topology.Target{ID: id, Group: group, DataCentre: "dc", Address: string(id)}, Slots: 2})
	}
	pools := target.NewPools(d, f.databases, mono.System{}, log)
	ctx, cancel := context.WithCancel(context.Background())
	go pools.Run(ctx)
	f.registry = metrics.New()
	options := gateway.Options{
		Directory: d, Pools: pools, Rights: f.rights, Codec: newTextCaller, Clock: mono.System{}, Log: log,
		Metrics: metrics.NewEntry(f.registry), Refusals: metrics.NewRefusals(f.registry), MaxSessions: 100,
	}
	for _, s := range set {
		s(&options)
	}
	f.server = gateway.NewServer(options)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	go f.server.Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		l.Close()
		_ = f.registry.Close()
	})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, ok := pools.Get(replica); ok {
			return f
		}
	}
	t.Fatal("no pool for the replica")
	return nil
}

// client is a caller of the tests.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (f *fixture) open(name string) *client {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	c := &client{t: f.t, conn: conn, r: bufio.NewReader(conn)}
	if got := c.ask(name); got != "welcome" {
		f.t.Fatalf("opening %s: %q", name, got)
	}
	return c
}

func (c *client) ask(text string) string {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text+"\n"); err != nil {
		c.t.Fatal(err)
	}
	return c.readLine()
}

// readLine returns the next line, or "closed".
func (c *client) readLine() string {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	s, err := c.r.ReadString('\n')
	if errors.Is(err, io.EOF) {
		return "closed"
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSpace(s)
}

func (c *client) expect(text, want string) {
	c.t.Helper()
	if got := c.ask(text); got != want {
		c.t.Fatalf("%s: %q, want %q", text, got, want)
	}
}

// opening opens a session and returns the server's answer.
func (f *fixture) opening(name string) string {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t: f.t, conn: conn, r: bufio.NewReader(conn)}
	return c.ask(name)
}

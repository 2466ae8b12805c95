package database

import (
	"encoding/hex"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Role is what a database does in its term.
type Role string

// The roles.
const (
	RoleUnassigned Role = "unassigned"
	RolePrimary    Role = "primary"
	RoleReplica    Role = "replica"
	RoleFenced     Role = "fenced"
)

// Database is the stand-in. Safe for concurrent use.
type Database struct {
	cfg   Config
	slots *slots

	statementTime    atomic.Int64
	replicationDelay atomic.Int64
	rejecting        atomic.Bool

	mu      sync.Mutex
	term    uint64
	role    Role
	primary endpoint
	entries []Entry
	tables  map[string]map[string]string
	locks   lockTable
	txns    map[*txn]struct{}
	surplus *position.Position
	acked   map[string]position.Position
	ackedBy map[string]*conn
	// changed is closed and replaced when the log, an acknowledgement, the
	// role or the term changes.
	changed chan struct{}
	file    *os.File
	stopped bool // no follower may be started any more
	// following is the follower of the current role, if it has one.
	following *follower

	connMu   sync.Mutex
	listener net.Listener
	conns    map[uint32]*conn
	nextPID  uint32
	ordinary int
	closed   bool
	wg       sync.WaitGroup
}

// endpoint names a database and where it listens.
type endpoint struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// New returns a database that does not serve yet. With a data file, it has the
// log, term and role that the file holds.
func New(cfg Config) (*Database, error) {
	cfg = cfg.withDefaults()
	d := &Database{
		cfg:     cfg,
		slots:   newSlots(cfg.Slots),
		role:    RoleUnassigned,
		tables:  map[string]map[string]string{},
		locks:   lockTable{},
		txns:    map[*txn]struct{}{},
		acked:   map[string]position.Position{},
		ackedBy: map[string]*conn{},
		changed: make(chan struct{}),
		conns:   map[uint32]*conn{},
	}
	d.statementTime.Store(int64(cfg.StatementTime))
	d.replicationDelay.Store(int64(cfg.ReplicationDelay))
	if cfg.DataFile != "" {
		if err := d.openFile(cfg.DataFile); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Listen opens the address and serves it until Close.
func (d *Database) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.connMu.Lock()
	d.listener = l
	d.wg.Add(1)
	d.connMu.Unlock()
	go d.acceptAll(l)
	d.resumeFollowing()
	d.cfg.Log.Info("serving", "id", d.cfg.ID, "data_centre", d.cfg.DataCentre, "address", l.Addr().String())
	return nil
}

// Address returns where the database listens.
func (d *Database) Address() string {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	return d.listener.Addr().String()
}

// Close cuts all connections and waits until nothing runs any more.
func (d *Database) Close() {
	d.mu.Lock()
	d.stopped = true
	d.stopFollowerLocked()
	d.mu.Unlock()
	d.connMu.Lock()
	d.closed = true
	if d.listener != nil {
		d.listener.Close()
	}
	for _, c := range d.conns {
		c.abort(errClosed)
	}
	d.connMu.Unlock()
	d.wg.Wait()
	d.closeFile()
}

func (d *Database) acceptAll(l net.Listener) {
	defer d.wg.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of descriptors, for example: without a pause the loop
			// would spin and starve the connections that could end.
			time.Sleep(acceptPause)
			continue
		}
		d.start(nc)
	}
}

const acceptPause = 10 * time.Millisecond

func (d *Database) start(nc net.Conn) {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	if d.closed {
		nc.Close()
		return
	}
	d.nextPID++
	c := newConn(d, nc, d.nextPID)
	d.conns[c.pid] = c
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		c.serve()
		d.forget(c)
	}()
}

func (d *Database) forget(c *conn) {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	delete(d.conns, c.pid)
	if c.counted {
		d.ordinary--
	}
}

// admit takes a place of the connection limit.
func (d *Database) admit(c *conn) error {
	if d.rejecting.Load() {
		return sqlError(CodeNotNow, "the database rejects connections")
	}
	d.connMu.Lock()
	defer d.connMu.Unlock()
	if d.ordinary >= d.cfg.Connections {
		d.cfg.Log.Warn("connection refused", "event", "connection_refused", "id", d.cfg.ID, "limit", d.cfg.Connections)
		return sqlError(CodeTooManyClients, "sorry, too many clients already")
	}
	d.ordinary++
	c.counted = true
	return nil
}

// activeLocked lists the connections that run a statement; the caller holds connMu.
func (d *Database) activeLocked() []uint32 {
	var pids []uint32
	for pid, c := range d.conns {
		if c.running() {
			pids = append(pids, pid)
		}
	}
	return pids
}

// cancel stops the running statement of the connection with this pid.
func (d *Database) cancel(pid uint32, secret []byte) {
	d.connMu.Lock()
	c := d.conns[pid]
	d.connMu.Unlock()
	if c != nil && string(c.secret) == string(secret) {
		c.cancelStatement()
	}
}

// terminate ends the connection with this pid; the secret, in hexadecimal, tells
// it from one of another start.
func (d *Database) terminate(pid uint32, secret string) {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	if c := d.conns[pid]; c != nil && hex.EncodeToString(c.secret) == secret {
		c.abort(errClosed)
	}
}

// signalLocked wakes all who wait for a change.
func (d *Database) signalLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

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

// Role is the role of a database in its term.
type Role string

// Roles of a database.
const (
	RoleUnassigned Role = "unassigned"
	RolePrimary    Role = "primary"
	RoleReplica    Role = "replica"
	RoleFenced     Role = "fenced"
)

// Database is a stand-in database. It is safe for concurrent use.
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
	stopped bool // set by Close; no follower is started afterwards
	// following replicates from the primary; nil unless the role is replica.
	following *follower

	connMu        sync.Mutex
	listener      net.Listener
	conns         map[uint32]*conn
	nextPID       uint32
	ordinaryConns int
	closed        bool
	wg            sync.WaitGroup
}

// endpoint is the id and the address of a database.
type endpoint struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// New returns a database that does not listen yet. Log, term and role are read
// from the data file if there is one.
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

// Listen listens on the address and serves connections until Close.
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

// Address returns the address on which the database listens.
func (d *Database) Address() string {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	return d.listener.Addr().String()
}

// Close closes all connections and waits until all goroutines have ended.
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
			// The process may be out of file descriptors. Without a pause the
			// loop would spin and starve the connections that could end.
			time.Sleep(acceptRetryDelay)
			continue
		}
		d.startConn(nc)
	}
}

const acceptRetryDelay = 10 * time.Millisecond

func (d *Database) startConn(nc net.Conn) {
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
		d.removeConn(c)
	}()
}

func (d *Database) removeConn(c *conn) {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	delete(d.conns, c.pid)
	if c.counted {
		d.ordinaryConns--
	}
}

// admit counts c towards the connection limit or refuses it.
func (d *Database) admit(c *conn) error {
	if d.rejecting.Load() {
		return sqlError(CodeNotNow, "the database rejects connections")
	}
	d.connMu.Lock()
	defer d.connMu.Unlock()
	if d.ordinaryConns >= d.cfg.Connections {
		d.cfg.Log.Warn("connection refused", "event", "connection_refused", "id", d.cfg.ID, "limit", d.cfg.Connections)
		return sqlError(CodeTooManyClients, "sorry, too many clients already")
	}
	d.ordinaryConns++
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

// terminate closes the connection with this pid and secret (in hexadecimal). The
// secret distinguishes it from a connection that had the pid before a restart.
func (d *Database) terminate(pid uint32, secret string) {
	d.connMu.Lock()
	defer d.connMu.Unlock()
	if c := d.conns[pid]; c != nil && hex.EncodeToString(c.secret) == secret {
		c.abort(errClosed)
	}
}

// signalLocked wakes all goroutines that wait on changed.
func (d *Database) signalLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

package database

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Status is the row that SHOW buckthornshore.status returns.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Position    position.Position
	Primary     string             // id of the primary, if known
	Surplus     *position.Position // first position lost by the last divergence
	Connections int
	Active      []uint32                     // process ids of the connections that run a statement
	Replicas    map[string]position.Position // acknowledged positions by replica id
}

// Status returns the database's state.
func (d *Database) Status() Status {
	d.connMu.Lock()
	ordinaryConns := d.ordinaryConns
	active := d.activeLocked()
	d.connMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	st := Status{
		ID: d.cfg.ID, Role: d.role, Term: d.term, Position: d.positionLocked(),
		Primary: d.primary.ID, Surplus: d.surplus, Connections: ordinaryConns,
		Active:   active,
		Replicas: map[string]position.Position{},
	}
	for id, p := range d.acked {
		st.Replicas[id] = p
	}
	return st
}

// replicaList returns the replicas as id=position, separated by commas.
func (s Status) replicaList() string {
	list := make([]string, 0, len(s.Replicas))
	for id, p := range s.Replicas {
		list = append(list, id+"="+p.String())
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

// Fence raises the term and makes the database refuse data statements, BEGIN and
// COMMIT. It is idempotent.
func (d *Database) Fence(term uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term == d.term && d.role == RoleFenced {
		return nil
	}
	if term <= d.term {
		return d.termRefusedError("fence", term)
	}
	d.changeRoleLocked(term, RoleFenced, endpoint{})
	return nil
}

// Promote makes the database the primary of term. It is idempotent.
//
// It refuses to promote a replica of the same term: the term has a primary
// already, and two diverging logs of one term could not be distinguished.
func (d *Database) Promote(term uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term == d.term && d.role == RolePrimary {
		return nil
	}
	if term < d.term || term == 0 || term == d.term && d.role == RoleReplica {
		return d.termRefusedError("promote", term)
	}
	d.changeRoleLocked(term, RolePrimary, endpoint{ID: d.cfg.ID})
	// The empty entry gives the new term a position at once, so that a
	// diverged replica is detected before the first write.
	d.appendLocked(Entry{Term: term, Index: uint64(len(d.entries)) + 1})
	return nil
}

// Follow makes the database a replica of the primary at address. It is
// idempotent. The primary of a term cannot become a replica in the same term.
func (d *Database) Follow(term uint64, id, address string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstream := endpoint{ID: id, Address: address}
	if term == d.term && d.role == RoleReplica && d.primary == upstream {
		return nil
	}
	if term < d.term || term == 0 || term == d.term && d.role == RolePrimary {
		return d.termRefusedError("follow", term)
	}
	if id == d.cfg.ID {
		return sqlError(CodeBadParameter, "%s cannot follow itself", id)
	}
	d.changeRoleLocked(term, RoleReplica, upstream)
	d.startFollowerLocked()
	return nil
}

func (d *Database) termRefusedError(action string, term uint64) error {
	return sqlError(CodeTermRefused, "cannot %s in term %d: the database is %s in term %d", action, term, d.role, d.term)
}

func (d *Database) changeRoleLocked(term uint64, role Role, primary endpoint) {
	invariant(term >= d.term, "term decreases from %d to %d", d.term, term)
	d.stopFollowerLocked()
	if term != d.term || role != d.role {
		d.rollbackAllLocked()
	}
	d.term, d.role, d.primary = term, role, primary
	d.acked = map[string]position.Position{}
	d.ackedBy = map[string]*conn{}
	d.saveRoleLocked()
	d.signalLocked()
	d.cfg.Log.Info("role changed", "event", "role_changed", "id", d.cfg.ID, "role", string(role),
		"term", term, "position", d.positionLocked().String(), "primary", primary.ID)
}

func (d *Database) stopFollowerLocked() {
	if d.following != nil {
		d.following.stop()
		d.following = nil
	}
}

// startFollowerLocked starts replication from the primary. After Close it does
// nothing: a concurrent FOLLOW could otherwise start a follower that is never
// stopped, and Close would block forever.
func (d *Database) startFollowerLocked() {
	if d.stopped {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &follower{db: d, term: d.term, upstream: d.primary, stop: stop}
	d.following = f
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f.run(ctx)
	}()
}

// resumeFollowing restarts replication if the data file holds the role replica.
func (d *Database) resumeFollowing() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == RoleReplica && d.following == nil {
		d.startFollowerLocked()
	}
}

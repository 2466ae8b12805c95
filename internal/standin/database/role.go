package database

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Status is the row that SHOW buckthornshore.status answers.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Position    position.Position
	Primary     string             // id
	Surplus     *position.Position // first position lost by the last divergence
	Connections int
	Active      []uint32                     // connections that run a statement, by process id
	Replicas    map[string]position.Position // acknowledged, by id
}

// Status returns the database's state.
func (d *Database) Status() Status {
	d.connMu.Lock()
	ordinary := d.ordinary
	active := d.activeLocked()
	d.connMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	st := Status{
		ID: d.cfg.ID, Role: d.role, Term: d.term, Position: d.positionLocked(),
		Primary: d.primary.ID, Surplus: d.surplus, Connections: ordinary,
		Active:   active,
		Replicas: map[string]position.Position{},
	}
	for id, p := range d.acked {
		st.Replicas[id] = p
	}
	return st
}

// replicaList writes the replicas as id=position, separated by commas.
func (s Status) replicaList() string {
	list := make([]string, 0, len(s.Replicas))
	for id, p := range s.Replicas {
		list = append(list, id+"="+p.String())
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

// Fence raises the term and refuses everything in it. Idempotent.
func (d *Database) Fence(term uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term == d.term && d.role == RoleFenced {
		return nil
	}
	if term <= d.term {
		return d.lowerTerm("fence", term)
	}
	d.changeRoleLocked(term, RoleFenced, endpoint{})
	return nil
}

// Promote makes the database the primary of term. Idempotent.
//
// A replica of the same term is refused: its term has a primary already, and
// two logs of one term could no longer be told apart.
func (d *Database) Promote(term uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term == d.term && d.role == RolePrimary {
		return nil
	}
	if term < d.term || term == 0 || term == d.term && d.role == RoleReplica {
		return d.lowerTerm("promote", term)
	}
	d.changeRoleLocked(term, RolePrimary, endpoint{ID: d.cfg.ID})
	// The empty entry gives the new term a position at once, so that a
	// diverged replica is recognised before the first write.
	d.appendLocked(Entry{Term: term, Index: uint64(len(d.entries)) + 1})
	return nil
}

// Follow makes the database a replica of the primary at address. Idempotent.
// The primary of a term cannot follow another one in the same term.
func (d *Database) Follow(term uint64, id, address string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstream := endpoint{ID: id, Address: address}
	if term == d.term && d.role == RoleReplica && d.primary == upstream {
		return nil
	}
	if term < d.term || term == 0 || term == d.term && d.role == RolePrimary {
		return d.lowerTerm("follow", term)
	}
	if id == d.cfg.ID {
		return sqlError(CodeBadParameter, "%s cannot follow itself", id)
	}
	d.changeRoleLocked(term, RoleReplica, upstream)
	d.startFollowerLocked()
	return nil
}

func (d *Database) lowerTerm(what string, term uint64) error {
	return sqlError(CodeTermRefused, "cannot %s in term %d: the database is %s in term %d", what, term, d.role, d.term)
}

func (d *Database) changeRoleLocked(term uint64, role Role, primary endpoint) {
	invariant(term >= d.term, "term falls from %d to %d", d.term, term)
	d.stopFollowerLocked()
	if term != d.term || role != d.role {
		d.endAllLocked()
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

// startFollowerLocked starts to follow the primary. After Close it does
// nothing: a FOLLOW that was under way would otherwise start a follower that
// nobody stops, and Close would wait for it for good.
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

// resumeFollowing goes on where the data file left off.
func (d *Database) resumeFollowing() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == RoleReplica && d.following == nil {
		d.startFollowerLocked()
	}
}

package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Member is a target that may hold acknowledged commits of its group.
type Member struct {
	ID topology.TargetID `json:"id" msgpack:"i"`
	// Registration is the key under which the target registers, and Address its TCP address. A member is
	// queried at its address even if its registration has expired.
	Registration string `json:"registration,omitempty" msgpack:"r,omitempty"`
	Address      string `json:"address,omitempty" msgpack:"a,omitempty"`
	// Leaving is set if the target has announced that it leaves. Its log then goes to the next target at its address.
	Leaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
}

// hasLogOf reports whether m, which runs, has the log of o, which does not. A target that starts again under its
// registration has lost its log.
func (m *Member) hasLogOf(o *Member) bool {
	return o.Leaving && m.Address != "" && m.Address == o.Address && m.Registration != o.Registration
}

// Quorum tells which targets may hold the acknowledged commits of a group whose commits wait for replicas: each of
// these commits is held by the primary that acknowledged it and by SyncReplicas other members.
//
// The members are recorded while commits are acknowledged. Neither an expired registration nor silence removes one:
// it may hold a commit that only the failed primary holds as well.
type Quorum struct {
	SyncReplicas int      `json:"sync_replicas" msgpack:"s"`
	Members      []Member `json:"members" msgpack:"m"`
}

// NewQuorum returns the quorum of a group in which each commit waits for a number of replicas, or nil if it waits for
// none.
func NewQuorum(syncReplicas int, members []Member) *Quorum {
	if syncReplicas <= 0 {
		return nil
	}
	return &Quorum{SyncReplicas: syncReplicas, Members: members}
}

// String returns how many targets hold each commit, and the members.
func (q *Quorum) String() string {
	if q == nil {
		return "none"
	}
	ids := make([]string, 0, len(q.Members))
	for _, m := range q.Members {
		id := string(m.ID)
		if m.Leaving {
			id += " (leaving)"
		}
		ids = append(ids, id)
	}
	return fmt.Sprintf("%d of %s", q.SyncReplicas+1, strings.Join(ids, ", "))
}

// With returns the quorum with the targets that are registered: those that are new, and which of them are leaving. It
// returns q itself if nothing changes.
func (q *Quorum) With(registered []Member) *Quorum {
	n := &Quorum{SyncReplicas: q.SyncReplicas, Members: slices.Clone(q.Members)}
	for _, m := range registered {
		if i := n.index(m.ID); i < 0 {
			n.Members = append(n.Members, m)
		} else if m.Leaving {
			n.Members[i].Leaving = true
		}
	}
	if slices.Equal(n.Members, q.Members) {
		return q
	}
	return n
}

// Has reports whether a target is a member. A commit must not be acknowledged while a registered target is none: it may
// be the only one that holds the commit beside the primary.
func (q *Quorum) Has(id topology.TargetID) bool { return q.index(id) >= 0 }

func (q *Quorum) index(id topology.TargetID) int {
	return slices.IndexFunc(q.Members, func(m Member) bool { return m.ID == id })
}

// Without returns the quorum without the members that are gone, if the others hold all commits that any of these may
// hold: the primary and SyncReplicas others. answers were given after the targets were known to be gone, so that
// these can't have received a later commit.
func (q *Quorum) Without(gone []Member, primary topology.TargetID, answers []Answer) (*Quorum, bool) {
	leader := slices.IndexFunc(answers, func(a Answer) bool { return a.ID == primary && a.Leads })
	if leader < 0 {
		return q, false
	}
	n := &Quorum{SyncReplicas: q.SyncReplicas}
	holders := 0
	for _, m := range q.Members {
		if slices.ContainsFunc(gone, func(g Member) bool { return g.ID == m.ID }) {
			continue
		}
		n.Members = append(n.Members, m)
		if m.ID != primary && slices.ContainsFunc(answers, func(a Answer) bool {
			return a.ID == m.ID && !a.Received.Less(answers[leader].Received)
		}) {
			holders++
		}
	}
	return n, holders >= q.SyncReplicas
}

// Answer is what a target answered about its log.
type Answer struct {
	Member
	Received position.Position
	// Leads is set if the target is the primary in the row's term.
	Leads bool
	// Registered is set if the target is registered, so that VMs can reach it.
	Registered bool
	// Lag is how far the target is behind in applying its log.
	Lag time.Duration
}

// Errors of Evidence.Choose.
var (
	// ErrNoReplica is returned if no replica answers that could be promoted.
	ErrNoReplica = errors.New("lease: no replica can be reached")
	// ErrTooFewAnswers is returned if the targets that do not answer may hold an acknowledged commit that no other
	// target holds.
	ErrTooFewAnswers = errors.New("lease: too few of the targets that may hold acknowledged commits answer")
	// ErrCommitsMissing is returned if no replica that could be promoted holds all acknowledged commits.
	ErrCommitsMissing = errors.New("lease: no replica is known to hold all acknowledged commits")
)

// Evidence is what is known of a group's logs when its primary is replaced. The answers were given after all rights
// had ended, so no commit is acknowledged that a target received later.
type Evidence struct {
	// Row is the group's row. Its quorum has all targets that are registered; it is nil if commits do not wait for
	// replicas.
	Row     *Row
	Answers []Answer
}

// Required returns a position up to which a target must hold the log to hold every acknowledged commit, and false if
// the answers do not tell.
//
// An acknowledged commit is held by as many members as acknowledge one. If so many of them are silent, it may be held
// by these alone. Otherwise at least the rest of them hold it among those that answer. The primary's log has all
// commits, whoever else answers.
func (e *Evidence) Required() (position.Position, bool) {
	if e.Row.Quorum == nil {
		return position.Position{}, true
	}
	var held []position.Position
	for i := range e.Row.Quorum.Members {
		if p, ok := e.heldBy(&e.Row.Quorum.Members[i]); ok {
			held = append(held, p)
		}
	}
	holders := min(e.Row.Quorum.SyncReplicas+1, len(e.Row.Quorum.Members))
	silent := len(e.Row.Quorum.Members) - len(held)
	if silent < holders {
		slices.SortFunc(held, func(a, b position.Position) int { return b.Compare(a) })
		return held[holders-silent-1], true
	}
	if i := e.primary(); i >= 0 {
		return e.Answers[i].Received, true
	}
	return position.Position{}, false
}

// heldBy returns the position that a member holds by its own answer or by that of the target that has its log.
func (e *Evidence) heldBy(m *Member) (held position.Position, known bool) {
	for i := range e.Answers {
		a := &e.Answers[i]
		if a.ID == m.ID {
			return a.Received, true
		}
		if a.hasLogOf(m) {
			held, known = position.Max(held, a.Received), true
		}
	}
	return held, known
}

// primary returns the index of the answer of the row's primary, or -1.
func (e *Evidence) primary() int {
	return slices.IndexFunc(e.Answers, func(a Answer) bool { return a.ID == e.Row.Primary || a.Leads })
}

// Choose returns the index of the answer of the replica to promote: the best one that holds every acknowledged commit.
func (e *Evidence) Choose() (int, error) {
	required, known := e.Required()
	if !known {
		return -1, ErrTooFewAnswers
	}
	return e.BestFrom(required)
}

// BestFrom returns the index of the answer of the best replica that holds the log up to a position.
//
// A replica that is leaving is chosen only if no other one holds what is required and the primary is silent: it would
// be replaced soon, but the others can receive the missing commits from nobody else.
func (e *Evidence) BestFrom(required position.Position) (int, error) {
	if i := e.best(required, func(a *Answer) bool { return !a.Leaving }); i >= 0 {
		return i, nil
	}
	if e.Row.Quorum == nil {
		return -1, ErrNoReplica
	}
	if e.primary() < 0 {
		if i := e.best(required, func(*Answer) bool { return true }); i >= 0 {
			return i, nil
		}
	}
	return -1, ErrCommitsMissing
}

// best returns the index of the best answer of a registered replica among those that hold the log up to a position, or
// -1.
func (e *Evidence) best(required position.Position, mayLead func(*Answer) bool) int {
	best := -1
	for i := range e.Answers {
		a := &e.Answers[i]
		if !a.Registered || a.ID == e.Row.Primary || !mayLead(a) || a.Received.Less(required) {
			continue
		}
		if best < 0 || a.isBetterThan(&e.Answers[best]) {
			best = i
		}
	}
	return best
}

// isBetterThan reports whether a is the better choice for the primary than b: it has received more, or already leads
// and needs no promotion, or has less left to apply.
func (a *Answer) isBetterThan(b *Answer) bool {
	if order := a.Received.Compare(b.Received); order != 0 {
		return order > 0
	}
	if a.Leads != b.Leads {
		return a.Leads
	}
	return a.Lag < b.Lag
}

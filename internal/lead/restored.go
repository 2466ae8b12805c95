package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// restoreGrace is how long after this VM has learned of a new era the coordinators known from earlier
// ones may take to write their rows again: one watch, one write and two renewals.
const restoreGrace = 2 * time.Second

// storedRow is what the store has of a group's row.
type storedRow struct {
	// version is the store's version of it; its number is 0 if the store has no row.
	version metastore.Version
	// row is the row's own version.
	row uint64
}

// forgetLost records the store's era and forgets the rows that the store has lost when it was restored
// from an older copy. read has all decision rows.
func (l *Lead) forgetLost(read metastore.Rows) {
	present := make(map[string]bool, len(read.Rows))
	for _, r := range read.Rows {
		present[r.Key] = true
	}
	none := metastore.Version{Era: read.Version.Era}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.eraSince == 0 || none.Era > l.era {
		l.Log.Info("event=store_era", "era", none.Era, "former", l.era, "version", read.Version)
		l.era, l.eraSince = none.Era, l.Clock.Now()
	}
	if !present[dutyKey] && l.duty.version.Era < none.Era {
		l.duty = dutyState{duty: duty{Fence: l.duty.Fence}, version: none}
	}
	for group, s := range l.stored {
		if !present[rowKey(group)] && s.version.Era < none.Era {
			l.stored[group] = storedRow{version: none}
		}
	}
}

func rowKey(group topology.GroupID) string { return groupPrefix + string(group) }

// latestEra returns the store's latest era whose rows this VM has read.
func (l *Lead) latestEra() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// ofEarlierEra reports whether a row was written in an earlier era of the store than the present one.
// The store may have lost newer versions of it, so it must be written again before any other change.
func (l *Lead) ofEarlierEra(row *lease.Row) bool { return row.Era() < l.era }

// names reports whether a row names this incarnation of this VM as the coordinator.
func (l *Lead) names(row *lease.Row) bool {
	return row.Coordinator == l.self.ID && row.Incarnation == l.self.Incarnation
}

// restoreRows writes the rows that name this VM as the coordinator again after the store was restored
// from an older copy, and claims the duty again if its row names this VM.
func (l *Lead) restoreRows(ctx context.Context) {
	l.mu.Lock()
	var due []*lease.Row
	for _, row := range l.rowsOf(l.self.ID) {
		if l.names(row) && l.ofEarlierEra(row) && !l.leaving {
			due = append(due, row)
		}
	}
	l.renewDuty(ctx)
	l.mu.Unlock()
	for _, row := range due {
		l.startChange(row.Group, func() { l.restoreRow(ctx, row) })
	}
}

// restoreRow writes one row again. A coordinator in contact with most witnesses keeps giving promises,
// provided that the row's primary leads. Otherwise another VM may have been the coordinator since, in a
// row that the store has lost, and the row is closed until it is known which target leads.
func (l *Lead) restoreRow(ctx context.Context, row *lease.Row) {
	l.mu.Lock()
	now := l.Clock.Now() // That of the tick is too early if this VM was paused since.
	coordinated := l.coordinator.Row(row.Group)
	inContact := coordinated != nil && coordinated.Version == row.Version && l.coordinator.InContact(row.Group, now)
	settled := l.coordinator.Settled(row.Group, now)
	waited := now.Sub(l.eraSince) >= restoreGrace
	era := l.era
	l.mu.Unlock()
	var next *lease.Row
	switch {
	case inContact && (!row.Open() || l.stillLeads(ctx, row)):
		next = row
		if settled {
			next = row.Settled()
		}
		next = next.Restored(era)
	case waited:
		next = l.takenOver(row, l.witnesses())
	default:
		return
	}
	err := l.commit(ctx, row, next)
	l.Log.Info("event=row_restored", "group", row.Group, "from", row.Version, "version", next.Version, "era", era,
		"in_contact", inContact, "open", next.Open(), "error", err)
}

// stillLeads reports whether the row's primary answers that it leads the row's term.
func (l *Lead) stillLeads(ctx context.Context, row *lease.Row) bool {
	t, ok := l.Directory.Target(row.Primary)
	if !ok {
		return false
	}
	s, err := l.status(ctx, t.Target)
	if err != nil {
		l.Log.Info("event=status_failed", "target", t.ID, "error", err)
		return false
	}
	return s.Primary && s.Term == row.Term
}

// takenOver returns the row with this VM as the coordinator.
func (l *Lead) takenOver(row *lease.Row, witnesses []topology.VMID) *lease.Row {
	l.mu.Lock()
	era, early := l.era, l.ofEarlierEra(row)
	l.mu.Unlock()
	if early {
		return row.TakenByAfterRestoration(era, l.self.ID, l.self.Incarnation, witnesses)
	}
	next := row.TakenBy(l.self.ID, l.self.Incarnation, l.self.ID, witnesses)
	// An earlier incarnation of this VM has ended, and its orders with it.
	if row.Coordinator == l.self.ID && (row.Quiet || row.Open() || !l.Clock.Now().Before(l.started.Add(lease.OrderLife))) {
		return next.Quieted()
	}
	return next
}

// awaitsCoordinator reports whether a coordinator may still write its rows again after the store was
// restored.
func (l *Lead) awaitsCoordinator(vm topology.VMID, now mono.Time) bool {
	if now.Sub(l.eraSince) >= restoreGrace {
		return false
	}
	for _, row := range l.rowsOf(vm) {
		if l.ofEarlierEra(row) {
			return true
		}
	}
	return false
}

// renewDuty claims the duty again if its row names this VM with a token of an earlier era.
func (l *Lead) renewDuty(ctx context.Context) {
	if l.renewingDuty || l.leaving || !l.namedByDuty() || l.holdsDuty() {
		return
	}
	l.renewingDuty = true
	go func() {
		if err := l.acquireDuty(ctx, l.namedByDuty); err != nil {
			l.Log.Info("event=duty_not_claimed", "error", err)
			wait.For(ctx, handoverRetryDelay)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.renewingDuty = false
	}()
}

// errNoLeader is returned when no target answers that it leads the row's term or a later one.
var errNoLeader = errors.New("lead: no target leads")

// reopenForLeader opens a row that was closed after a restoration of the store, or because another target leads, for the target
// that leads the highest term, once all rights have ended. A target that does not answer may lead a term that the
// store has lost; then the platform is asked to promote the leader, which has no effect on the present
// primary and makes any other target begin the next term.
func (r *replacement) reopenForLeader(ctx context.Context) error {
	if err := r.awaitRightsEnded(ctx); err != nil {
		return err
	}
	if err := r.recordMembers(ctx); err != nil {
		return err
	}
	targets := r.possibleLeaders()
	answers := r.statuses(ctx, targets)
	leader, ok := r.leaderOf(answers)
	if !ok {
		return errNoLeader
	}
	e := r.newEvidence(answers)
	if required, isKnown := e.Required(); !isKnown || leader.status.Received.Less(required) {
		r.Log.Info("event=leader_withheld", "group", r.group, "leader", leader.target.ID, "holds", leader.status.Received,
			"required", required, "required_known", isKnown)
		return errNoLeader
	}
	if len(answers) < len(targets) {
		if err := r.orderPromotion(ctx, leader.target.ID); err != nil {
			return err
		}
		if leader, ok = r.leaderOf(r.statuses(ctx, []topology.Target{leader.target})); !ok {
			return errNoLeader
		}
	}
	return r.reopenFor(ctx, leader)
}

// possibleLeaders lists the targets that may lead.
func (r *replacement) possibleLeaders() []topology.Target {
	if r.row.Quorum != nil {
		return r.targetsOf(r.group, r.row.Quorum.Members)
	}
	var targets []topology.Target
	for _, t := range r.Directory.TargetsOf(r.group) {
		targets = append(targets, t.Target)
	}
	return targets
}

// leaderOf returns the target that leads the highest term, in the row's term or a later one.
func (r *replacement) leaderOf(answers []targetStatus) (leader targetStatus, ok bool) {
	for _, a := range answers {
		if a.status.Primary && a.status.Term >= max(r.row.Term, leader.status.Term) {
			leader, ok = a, true
		}
	}
	return leader, ok
}

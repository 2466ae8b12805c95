package database

import (
	"context"
	"strings"
	"time"
)

// awaitReplicas waits until the replicas that the session names hold the
// entry. Every failure is BT208: the entry is committed here in any case.
func (s *session) awaitReplicas(ctx context.Context, e *Entry) error {
	if e == nil || len(s.waitFor) == 0 {
		return nil
	}
	var timeout <-chan time.Time
	if s.waitTimeout > 0 {
		timer := time.NewTimer(s.waitTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		missing, changed, current := s.db.missingAcks(*e, s.waitFor)
		switch {
		case len(missing) == 0:
			return nil
		case !current:
			return notReplicated(*e, missing, "the database left the term")
		}
		select {
		case <-changed:
		case <-timeout:
			return notReplicated(*e, missing, "timed out")
		case <-ctx.Done():
			return notReplicated(*e, missing, "canceled")
		}
	}
}

func notReplicated(e Entry, missing []string, why string) error {
	return sqlError(CodeNotReplicated, "committed at %s but not acknowledged by %s: %s",
		e.Position(), strings.Join(missing, ","), why)
}

// missingAcks returns the replicas that do not hold e yet and whether the
// database is still in the term of e.
func (d *Database) missingAcks(e Entry, ids []string) (missing []string, changed <-chan struct{}, current bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		if acked, ok := d.acked[id]; !ok || acked.Less(e.Position()) {
			missing = append(missing, id)
		}
	}
	return missing, d.changed, d.role == RolePrimary && d.term == e.Term
}

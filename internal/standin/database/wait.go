package database

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// awaitReplicas waits until the replicas in the session's wait_for list have
// acknowledged the entry. The entry stays committed in any case. If the wait
// times out, the statement completes with warning BT208, as in PostgreSQL when a
// wait for synchronous replication is interrupted; if the database leaves the
// term or the caller cancels, the statement fails with error BT208.
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
			s.warnNotReplicated(*e, missing)
			return nil
		case <-ctx.Done():
			return notReplicated(*e, missing, "canceled")
		}
	}
}

func (s *session) warnNotReplicated(e Entry, missing []string) {
	s.conn.send(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                string(CodeNotReplicated),
		Message:             notReplicated(e, missing, "timed out").Error(),
	})
}

func notReplicated(e Entry, missing []string, reason string) error {
	return sqlError(CodeNotReplicated, "committed at %s but not acknowledged by %s: %s",
		e.Position(), strings.Join(missing, ","), reason)
}

// missingAcks returns the replicas that have not acknowledged e, a channel that
// is closed at the next change, and whether the database is still the primary in
// the term of e.
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

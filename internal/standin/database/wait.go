package database

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// awaitReplicas waits until the replicas that the session names hold the entry.
// The entry is committed here in any case. When the wait times out the statement
// completes with a warning BT208, as PostgreSQL itself does; when the database
// leaves the term or the caller cancels, it is an error BT208.
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

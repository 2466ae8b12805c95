package pooler

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// LedgerTable is the table at each target that holds a row, with the id and the
// class, for each request that may not be repeated.
const LedgerTable = "buckthornshore_ledger"

// Command tags that open or end a transaction.
const (
	tagBegin    = "BEGIN"
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
)

// runOnce runs the unit in a transaction that also inserts its ledger row. The row
// makes a second run of the same request id fail as a whole, whichever proxy it comes
// through. A unit that opens a transaction itself keeps it open.
func (p *Pooler) runOnce(ctx context.Context, c *conn, req *request) (answer, *result.Error) {
	target := topology.TargetID(req.Target)
	claim := "BEGIN; INSERT INTO " + LedgerTable + " (k, v) VALUES (" + quote(req.CallerRequestId) + ", " + quote(req.Class) + ")"
	first, err := c.query(ctx, claim)
	if err != nil {
		// No commit was sent, and the caller closes the connection, which rolls back.
		return first, result.New(result.TargetUnreachable, "%s: %v", target, err).After(verifyAfter)
	}
	if first.sqlState != "" {
		return first, ledgerRefused(req, first)
	}
	a, err := c.exchange(ctx, req.Messages, int(req.Syncs), p.o.Directory.Bounds().ResultBytes)
	if err != nil {
		return a, exchangeFailure(target, err)
	}
	if a.status == pgwire.Idle || opensTransaction(a.messages) {
		return a, nil
	}
	return endLedgerTransaction(ctx, c, target, a)
}

// ledgerRefused returns the result for a ledger row that could not be inserted;
// nothing of the unit has run.
func ledgerRefused(req *request, a answer) *result.Error {
	switch a.sqlState {
	case sqlUniqueViolation:
		return result.New(result.AlreadyRan, "request %s", req.CallerRequestId)
	case sqlTermRefused:
		return result.New(result.TermRefused, "%s", req.Target).After(verifyAfter)
	case sqlCancelled:
		return cancelledUnsent()
	}
	return result.New(result.TransactionAborted, "%s: ledger: SQLSTATE %s", req.Target, a.sqlState).After(time.Second)
}

// endLedgerTransaction commits the transaction of runOnce, or rolls it back after an
// error. It returns the unit's own answer with the transaction state that the unit
// would have had without the surrounding transaction.
func endLedgerTransaction(ctx context.Context, c *conn, target topology.TargetID, a answer) (answer, *result.Error) {
	sql := tagCommit
	if a.status == pgwire.Failed {
		sql = tagRollback
	}
	end, err := c.query(ctx, sql)
	if err != nil {
		return end, exchangeFailure(target, err)
	}
	if end.sqlState != "" {
		return end, nil
	}
	a.status = end.status
	a.committed = end.committed
	a.messages = setStatus(a.messages, end.status)
	return a, nil
}

// setStatus replaces the transaction state in the last ReadyForQuery of messages.
func setStatus(messages []byte, status byte) []byte {
	if n := len(messages); n > 0 {
		messages[n-1] = status
	}
	return messages
}

// commandTags returns the first word of the tag of each completed command.
func commandTags(messages []byte) []string {
	var tags []string
	_ = pgwire.Split(messages, func(f pgwire.Frame) error {
		if f.Type() != 'C' {
			return nil
		}
		var done pgproto3.CommandComplete
		if err := done.Decode(f.Body()); err != nil {
			return err
		}
		word, _, _ := strings.Cut(string(done.CommandTag), " ")
		tags = append(tags, word)
		return nil
	})
	return tags
}

// opensTransaction reports whether the unit began a transaction that it did not end.
func opensTransaction(messages []byte) bool {
	open := false
	for _, tag := range commandTags(messages) {
		switch tag {
		case tagBegin, "START":
			open = true
		case tagCommit, tagRollback:
			open = false
		}
	}
	return open
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

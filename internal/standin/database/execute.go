package database

import (
	"context"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// execute runs one statement. last is set for the last statement of a batch: an
// implicit transaction is then committed before the completion is reported.
func (s *session) execute(stmt *sqlparse.Statement, args []*string, last bool) (*result, error) {
	ctx, done := s.conn.statementContext()
	defer done()
	res, err := s.dispatch(ctx, stmt, args, last)
	if err != nil {
		s.fail()
		return nil, err
	}
	if last && s.txn != nil && s.txn.implicit {
		if err := s.commitOpen(ctx); err != nil {
			return nil, err
		}
	}
	return res, nil
}

func (s *session) dispatch(ctx context.Context, stmt *sqlparse.Statement, args []*string, last bool) (*result, error) {
	switch stmt.Kind {
	case sqlparse.Rollback:
		return s.rollback(), nil
	case sqlparse.Commit:
		return s.commit(ctx)
	}
	if s.failed {
		return nil, s.failedError()
	}
	switch stmt.Kind {
	case sqlparse.Begin:
		return s.begin()
	case sqlparse.Set:
		return tagOnly("SET"), s.setVariable(stmt.Name, stmt.Text)
	case sqlparse.Show:
		return s.show(stmt.Name)
	case sqlparse.Reset, sqlparse.DiscardAll:
		return s.reset(stmt)
	case sqlparse.Control:
		return s.controlStatement(stmt.Text)
	}
	return s.dataStatement(ctx, stmt, args, last)
}

// failedError returns the error for a statement in a failed transaction.
func (s *session) failedError() error {
	if err := s.checkTerm(); err != nil {
		return err
	}
	return sqlError(CodeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func (s *session) checkTerm() error {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.checkLocked(false)
}

// checkLocked returns an error if a statement must not run: the database is
// fenced or not in the term that the connection is bound to, or the statement
// writes and the database is not the primary or the session is read only.
func (s *session) checkLocked(writes bool) error {
	d := s.db
	switch {
	case s.bound && s.term != d.term:
		return sqlError(CodeTermRefused, "connection is bound to term %d, database is %s in term %d", s.term, d.role, d.term)
	case d.role == RoleFenced:
		return sqlError(CodeTermRefused, "database is fenced in term %d, connection is bound to %s", d.term, s.boundTo())
	case writes && s.vars[varReadOnly] == valueOn:
		return sqlError(CodeReadOnly, "cannot write: the session is read only")
	case writes && d.role != RolePrimary:
		return sqlError(CodeReadOnly, "cannot write: database is %s in term %d", d.role, d.term)
	}
	return nil
}

func (s *session) boundTo() string {
	if !s.bound {
		return "no term"
	}
	return "term " + s.vars[varTerm]
}

func (s *session) begin() (*result, error) {
	if err := s.checkTerm(); err != nil {
		return nil, err
	}
	if s.txn == nil {
		s.txn = s.db.beginTxn(false)
	}
	s.txn.implicit = false
	return tagOnly("BEGIN"), nil
}

func (s *session) rollback() *result {
	if s.txn != nil {
		s.db.rollback(s.txn)
	}
	s.txn, s.failed, s.termChanged = nil, false, false
	return tagOnly("ROLLBACK")
}

func (s *session) commit(ctx context.Context) (*result, error) {
	if s.failed {
		return s.commitFailed()
	}
	if s.txn == nil {
		return tagOnly("COMMIT"), s.checkTerm()
	}
	if err := s.commitOpen(ctx); err != nil {
		return nil, err
	}
	return tagOnly("COMMIT"), nil
}

// commitFailed ends a transaction that was rolled back. After a rollback by a
// change of term it returns an error: the command tag ROLLBACK alone would look
// like the result of an error of the caller's own.
func (s *session) commitFailed() (*result, error) {
	err := s.checkTerm()
	if err == nil && s.termChanged {
		s.db.mu.Lock()
		err = s.termChangedErrorLocked()
		s.db.mu.Unlock()
	}
	return s.rollback(), err
}

func (s *session) termChangedErrorLocked() error {
	return sqlError(CodeTermRefused, "transaction was rolled back by a change of term: connection is bound to %s, database is %s in term %d",
		s.boundTo(), s.db.role, s.db.term)
}

// commitOpen commits the open transaction. The transaction is over even if the
// commit fails.
func (s *session) commitOpen(ctx context.Context) error {
	t := s.txn
	s.txn = nil
	if err := s.acquireSlot(ctx); err != nil {
		s.db.rollback(t)
		return err
	}
	err := s.waitStatementTime(ctx, 0)
	var entry *Entry
	if err == nil {
		entry, err = s.commitNow(t)
	}
	s.releaseSlot()
	if err != nil {
		s.db.rollback(t)
		return err
	}
	return s.awaitReplicas(ctx, entry)
}

func (s *session) commitNow(t *txn) (*Entry, error) {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.commitLocked(t)
}

// commitLocked appends the writes of t to the log as one entry and returns it, or
// nil if there are none.
func (s *session) commitLocked(t *txn) (*Entry, error) {
	d := s.db
	if err := s.checkLocked(len(t.order) > 0); err != nil {
		return nil, err
	}
	if t.ended {
		return nil, s.termChangedErrorLocked()
	}
	if len(t.order) == 0 {
		d.endTxnLocked(t)
		return nil, nil
	}
	e := Entry{Term: d.term, Index: uint64(len(d.entries)) + 1, Writes: t.orderedWrites()}
	d.appendLocked(e)
	s.conn.committed = e.Position()
	d.endTxnLocked(t)
	return &e, nil
}

// acquireSlot waits for a slot; control connections need none.
func (s *session) acquireSlot(ctx context.Context) error {
	if s.conn.control {
		return nil
	}
	return s.db.slots.acquire(ctx)
}

func (s *session) releaseSlot() {
	if !s.conn.control {
		s.db.slots.release()
	}
}

func (s *session) show(name string) (*result, error) {
	if name == varStatus {
		return s.statusResult()
	}
	value, err := s.lookUp(name)
	if err != nil {
		return nil, err
	}
	return &result{columns: []column{{name, oidText}}, rows: [][]*string{{&value}}, tag: "SHOW"}, nil
}

func (s *session) reset(stmt *sqlparse.Statement) (*result, error) {
	if stmt.Kind == sqlparse.DiscardAll {
		if s.txn != nil && !s.txn.implicit {
			return nil, sqlError(CodeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		s.resetVariables()
		clear(s.prepared)
		return tagOnly("DISCARD ALL"), nil
	}
	if stmt.Name == "all" {
		s.resetVariables()
		return tagOnly("RESET"), nil
	}
	delete(s.vars, stmt.Name)
	switch stmt.Name {
	case varTerm, varWaitFor:
		return tagOnly("RESET"), s.setVariable(stmt.Name, "")
	case varWaitTimeout:
		return tagOnly("RESET"), s.setVariable(stmt.Name, "0")
	}
	return tagOnly("RESET"), nil
}

package database

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// dataStatement runs a statement that reads or writes data. It takes the row
// lock before a slot; in the other order, a statement waiting for a lock could
// occupy the slot that the lock's owner needs to commit.
func (s *session) dataStatement(ctx context.Context, stmt *sqlparse.Statement, args []*string, last bool) (*result, error) {
	if err := s.checkData(stmt); err != nil {
		return nil, err
	}
	op, err := bindOperands(stmt, args)
	if err != nil {
		return nil, err
	}
	if s.txn != nil || !last {
		if s.txn == nil {
			s.txn = s.db.beginTxn(true)
		}
		res, _, err := s.runInTxn(ctx, s.txn, op, false)
		return res, err
	}
	t := s.db.beginTxn(true)
	res, entry, err := s.runInTxn(ctx, t, op, true)
	if err != nil {
		s.db.rollback(t)
		return nil, err
	}
	return res, s.awaitReplicas(ctx, entry)
}

func (s *session) checkData(stmt *sqlparse.Statement) error {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	if err := s.checkLocked(stmt.Writes()); err != nil {
		return err
	}
	if s.txn != nil && s.txn.ended {
		return s.termChangedErrorLocked()
	}
	return nil
}

// runInTxn runs one statement in t. If commits is set, it also commits t while it
// holds the same slot.
func (s *session) runInTxn(ctx context.Context, t *txn, op operation, commits bool) (*result, *Entry, error) {
	if op.stmt.Writes() && op.key != nil {
		if err := s.db.lockRow(ctx, t, rowKey{op.stmt.Table, *op.key}); err != nil {
			return nil, nil, err
		}
	}
	if err := s.acquireSlot(ctx); err != nil {
		return nil, nil, err
	}
	defer s.releaseSlot()
	if err := s.waitStatementTime(ctx, op.sleep); err != nil {
		return nil, nil, err
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.runInTxnLocked(t, op, commits)
}

func (s *session) runInTxnLocked(t *txn, op operation, commits bool) (*result, *Entry, error) {
	if err := s.checkLocked(op.stmt.Writes()); err != nil {
		return nil, nil, err
	}
	if t.ended {
		return nil, nil, s.termChangedErrorLocked()
	}
	res, err := s.db.applyLockedOperation(t, op)
	if err != nil || !commits {
		return res, nil, err
	}
	entry, err := s.commitLocked(t)
	return res, entry, err
}

// operation is a statement with the values of its operands; nil is NULL.
type operation struct {
	stmt  *sqlparse.Statement
	key   *string
	value *string
	sleep time.Duration
}

func bindOperands(stmt *sqlparse.Statement, args []*string) (operation, error) {
	op := operation{stmt: stmt, key: bindOperand(stmt.Key, args), value: bindOperand(stmt.Value, args)}
	if stmt.Kind == sqlparse.SelectSleep && op.key != nil {
		seconds, err := strconv.ParseFloat(*op.key, 64)
		if err != nil || math.IsNaN(seconds) || seconds > maxSleep.Seconds() {
			return op, sqlError(CodeBadNumber, "not a number of seconds: %q", *op.key)
		}
		op.sleep = time.Duration(seconds * float64(time.Second))
	}
	if stmt.Kind == sqlparse.Insert && (op.key == nil || op.value == nil) || stmt.Kind == sqlparse.Update && op.value == nil {
		return op, sqlError(CodeNull, "null value in table %q violates not-null constraint", stmt.Table)
	}
	return op, nil
}

// maxSleep prevents an overflow in the conversion to a time.Duration.
const maxSleep = 24 * time.Hour

func bindOperand(op sqlparse.Operand, args []*string) *string {
	if op.Param == 0 {
		literal := op.Literal
		return &literal
	}
	return args[op.Param-1]
}

func (d *Database) applyLockedOperation(t *txn, op operation) (*result, error) {
	switch op.stmt.Kind {
	case sqlparse.SelectValue:
		return d.selectValue(t, op), nil
	case sqlparse.SelectRows:
		return d.selectRows(t, op), nil
	case sqlparse.SelectCount:
		return d.selectCount(t, op), nil
	case sqlparse.SelectOne:
		one := "1"
		return rowsOf(op.stmt, []*string{&one}), nil
	case sqlparse.SelectEcho:
		return rowsOf(op.stmt, []*string{op.key}), nil
	case sqlparse.SelectSleep:
		empty := ""
		return rowsOf(op.stmt, []*string{&empty}), nil
	case sqlparse.Insert:
		return d.insert(t, op)
	case sqlparse.Update, sqlparse.Add:
		return d.update(t, op)
	}
	invariant(op.stmt.Kind == sqlparse.Delete, "statement of kind %d", op.stmt.Kind)
	return d.delete(t, op), nil
}

func (d *Database) selectValue(t *txn, op operation) *result {
	if op.key == nil {
		return rowsOf(op.stmt)
	}
	v, ok := d.getLocked(t, rowKey{op.stmt.Table, *op.key})
	if !ok {
		return rowsOf(op.stmt)
	}
	return rowsOf(op.stmt, []*string{&v})
}

func (d *Database) matchingKeys(t *txn, op operation) []string {
	if op.key == nil {
		return nil
	}
	return d.scanLocked(t, op.stmt.Table, func(key string) bool { return like(*op.key, key) })
}

func (d *Database) selectRows(t *txn, op operation) *result {
	res := rowsOf(op.stmt)
	for _, key := range d.matchingKeys(t, op) {
		v, _ := d.getLocked(t, rowKey{op.stmt.Table, key})
		res.rows = append(res.rows, []*string{&key, &v})
	}
	res.tag = selectTag(len(res.rows))
	return res
}

func (d *Database) selectCount(t *txn, op operation) *result {
	n := strconv.Itoa(len(d.matchingKeys(t, op)))
	return rowsOf(op.stmt, []*string{&n})
}

func (d *Database) insert(t *txn, op operation) (*result, error) {
	_, exists := d.getLocked(t, rowKey{op.stmt.Table, *op.key})
	if exists && op.stmt.OnConflict == sqlparse.ConflictFails {
		return nil, sqlError(CodeDuplicate, "duplicate key value violates unique constraint \"%s_pkey\": key (k)=(%s) already exists", op.stmt.Table, *op.key)
	}
	if exists && op.stmt.OnConflict == sqlparse.ConflictIgnored {
		return tagOnly("INSERT 0 0"), nil
	}
	t.write(Write{Table: op.stmt.Table, Key: *op.key, Value: *op.value})
	return tagOnly("INSERT 0 1"), nil
}

func (d *Database) update(t *txn, op operation) (*result, error) {
	if op.key == nil {
		return tagOnly("UPDATE 0"), nil
	}
	old, exists := d.getLocked(t, rowKey{op.stmt.Table, *op.key})
	if !exists {
		return tagOnly("UPDATE 0"), nil
	}
	value := op.value
	if op.stmt.Kind == sqlparse.Add {
		sum, err := add(old, value)
		if err != nil {
			return nil, err
		}
		value = &sum
	}
	t.write(Write{Table: op.stmt.Table, Key: *op.key, Value: *value})
	return tagOnly("UPDATE 1"), nil
}

func (d *Database) delete(t *txn, op operation) *result {
	if op.key == nil {
		return tagOnly("DELETE 0")
	}
	if _, exists := d.getLocked(t, rowKey{op.stmt.Table, *op.key}); !exists {
		return tagOnly("DELETE 0")
	}
	t.write(Write{Table: op.stmt.Table, Key: *op.key, Delete: true})
	return tagOnly("DELETE 1")
}

func add(old string, increment *string) (string, error) {
	if increment == nil {
		return "", sqlError(CodeNull, "null value violates not-null constraint")
	}
	a, err := strconv.ParseInt(old, 10, 64)
	if err != nil {
		return "", sqlError(CodeBadNumber, "invalid input syntax for type bigint: %q", old)
	}
	b, err := strconv.ParseInt(*increment, 10, 64)
	if err != nil {
		return "", sqlError(CodeBadNumber, "invalid input syntax for type bigint: %q", *increment)
	}
	if b > 0 && a > math.MaxInt64-b || b < 0 && a < math.MinInt64-b {
		return "", sqlError(CodeOutOfRange, "bigint out of range")
	}
	return strconv.FormatInt(a+b, 10), nil
}

package load

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// statement returns the default SQL of an operation on a table.
func statement(op Operation, table string) string {
	switch op {
	case PutOwn, PutShared:
		return "insert into " + table + " (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v"
	case Insert:
		return "insert into " + table + " (k, v) values ($1, $2)"
	case Add:
		return "update " + table + " set v = v + 1 where k = $1"
	}
	return "select k, v from " + table + " where k like $1"
}

// send sends a request, retries it as the profile allows and writes the outcome
// into the record.
func (s *session) send(r *Record, c ClassLoad, elapsed func() time.Duration) {
	s.roam()
	r.Sent = elapsed()
	inTransaction := s.rng.Float64() < c.Transactions && (r.Operation == PutOwn || r.Operation == PutShared)
	mayHaveRun := false
	for {
		a := s.attempt(r, c, inTransaction)
		r.Attempts++
		r.Outcome, r.Code = a.outcome, a.code
		mayHaveRun = mayHaveRun || a.outcome == Unknown
		if a.outcome != Completed && r.Refused == 0 {
			r.Refused = elapsed()
		}
		// There are no retries after the end of the load: the run would last until
		// many timeouts had passed one after the other.
		if !s.shouldRetry(r, a) || elapsed() > s.profile.Duration.Std() {
			break
		}
		// The retry hint applies to the proxy that refused; after a lost connection
		// the session has switched to another one.
		if !a.connLost {
			time.Sleep(a.retryAfter)
		}
	}
	// An earlier attempt may have run even though the last one was refused.
	if mayHaveRun && r.Outcome == NotRun {
		r.Outcome = Unknown
	}
	r.Done = elapsed()
}

// shouldRetry reports whether the request is sent again. A write with an unknown
// outcome is retried only if it has a request id, which makes a second run fail.
func (s *session) shouldRetry(r *Record, a attemptResult) bool {
	if r.Attempts > s.profile.MaxRetries || a.outcome == Completed {
		return false
	}
	if a.outcome == Unknown {
		return r.RequestID != "" || !r.Operation.Writes()
	}
	return a.retryAfter > 0 || a.connLost
}

func (s *session) attempt(r *Record, c ClassLoad, inTransaction bool) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), s.profile.RequestTimeout.Std())
	defer cancel()
	r.Proxy = s.profile.Proxies[s.proxy]
	pc, err := s.proxyConn(ctx)
	if err == nil {
		r.Epoch = pc.epoch
		err = s.setOptions(ctx, pc, r)
	}
	if err != nil {
		// The request itself was not sent.
		a := classify(err)
		a.outcome, a.connLost = NotRun, true
		if a.code == labelClientTimeout || a.code == labelConnectionLost || a.code == labelNotSent {
			a.code = labelNotConnected
		}
		s.dropConn()
		s.switchProxy()
		return a
	}
	a := s.execute(ctx, pc, r, c, inTransaction)
	if a.connLost {
		s.dropConn()
		s.switchProxy()
	}
	return a
}

func (s *session) execute(ctx context.Context, pc *proxyConn, r *Record, c ClassLoad, inTransaction bool) attemptResult {
	sql := c.SQL
	if sql == "" {
		sql = statement(r.Operation, s.profile.Table)
	}
	if inTransaction {
		return s.transaction(ctx, pc, r, sql)
	}
	res := pc.query(ctx, sql, parameters(r)...)
	if res.Err != nil {
		return classify(res.Err)
	}
	if !r.Operation.Writes() {
		return recordRow(r, res)
	}
	s.updateToken(pc)
	return checkTag(res.CommandTag)
}

func parameters(r *Record) []string {
	if r.Operation.Writes() && r.Operation != Add {
		return []string{r.Key, strconv.FormatInt(r.Value, 10)}
	}
	return []string{r.Key}
}

// transaction runs the request between BEGIN and COMMIT. It can't have taken
// effect before the COMMIT is sent, so an earlier error means that it did not run.
func (s *session) transaction(ctx context.Context, pc *proxyConn, r *Record, sql string) attemptResult {
	for _, step := range []func() error{
		func() error { return pc.query(ctx, "begin").Err },
		func() error { return pc.query(ctx, sql, parameters(r)...).Err },
	} {
		if err := step(); err != nil {
			a := classify(err)
			a.connLost = true
			if a.outcome == Unknown {
				a.outcome = NotRun
			}
			return a
		}
	}
	res := pc.query(ctx, "commit")
	if res.Err != nil {
		a := classify(res.Err)
		a.connLost = true
		return a
	}
	if res.CommandTag.String() != "COMMIT" {
		return attemptResult{outcome: NotRun, code: res.CommandTag.String()}
	}
	s.updateToken(pc)
	return attemptResult{outcome: Completed, code: labelOK}
}

// labelNoRow is the label of a write that did not affect exactly one row,
// labelBadAnswer that of a read whose answer is malformed.
const (
	labelNoRow     = "no-row"
	labelBadAnswer = "bad-answer"
)

func checkTag(tag pgconn.CommandTag) attemptResult {
	if tag.RowsAffected() != 1 {
		return attemptResult{outcome: NotRun, code: labelNoRow}
	}
	return attemptResult{outcome: Completed, code: labelOK}
}

// recordRow writes the answer of a read into the record, for the checks.
func recordRow(r *Record, res *pgconn.Result) attemptResult {
	r.Value, r.AnswerKeys = 0, nil
	for _, row := range res.Rows {
		value, err := readRow(row)
		if err != nil {
			r.AnswerKeys = append(r.AnswerKeys, err.Error())
			return attemptResult{outcome: Completed, code: labelBadAnswer}
		}
		r.Value = value
		r.AnswerKeys = append(r.AnswerKeys, string(row[0]))
	}
	return attemptResult{outcome: Completed, code: labelOK}
}

func readRow(row [][]byte) (int64, error) {
	if len(row) != 2 {
		return 0, errors.Newf("a row of %d columns", len(row))
	}
	return strconv.ParseInt(string(row[1]), 10, 64)
}

package load

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// statement returns the SQL of an operation on a table.
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

// send runs a request to its end: it comes back after refusals as the profile
// allows and writes the outcome into the record.
func (s *session) send(r *Record, c ClassLoad, since func() time.Duration) {
	s.roam()
	r.Sent = since()
	inTransaction := s.rng.Float64() < c.Transactions && (r.Operation == PutOwn || r.Operation == PutShared)
	doubtful := false
	for {
		a := s.attempt(r, c, inTransaction)
		r.Attempts++
		r.Outcome, r.Code = a.outcome, a.code
		doubtful = doubtful || a.outcome == Unknown
		if a.outcome != Completed && r.Refused == 0 {
			r.Refused = since()
		}
		// Once no more load is offered nobody comes back: the run would end only
		// after the last of many time-outs.
		if !s.comesBack(r, a) || since() > s.profile.Duration.Std() {
			break
		}
		// The hint is the refusing proxy's; a lost connection moves to another one.
		if !a.lost {
			time.Sleep(a.retryAfter)
		}
	}
	// A refusal of the last attempt says nothing of an earlier one that may have run.
	if doubtful && r.Outcome == NotRun {
		r.Outcome = Unknown
	}
	r.Done = since()
}

// comesBack tells whether the request is sent once more. An unknown outcome is
// asked for again only with a request id, which makes a second run fail.
func (s *session) comesBack(r *Record, a answer) bool {
	if r.Attempts > s.profile.MaxRetries || a.outcome == Completed {
		return false
	}
	if a.outcome == Unknown {
		return r.RequestID != "" || !r.Operation.Writes()
	}
	return a.retryAfter > 0 || a.lost
}

func (s *session) attempt(r *Record, c ClassLoad, inTransaction bool) answer {
	ctx, cancel := context.WithTimeout(context.Background(), s.profile.RequestTimeout.Std())
	defer cancel()
	r.Proxy = s.profile.Proxies[s.proxy]
	l, err := s.link(ctx)
	if err == nil {
		r.Epoch = l.epoch
		err = s.prepare(ctx, l, r)
	}
	if err != nil {
		// The request itself was not sent.
		a := classify(err)
		a.outcome, a.lost = NotRun, true
		if a.code == labelClientTimeout || a.code == labelConnectionCut || a.code == labelNotSent {
			a.code = labelNotConnected
		}
		s.dropLink()
		s.moveOn()
		return a
	}
	a := s.exchange(ctx, l, r, c, inTransaction)
	if a.lost {
		s.dropLink()
		s.moveOn()
	}
	return a
}

func (s *session) exchange(ctx context.Context, l *link, r *Record, c ClassLoad, inTransaction bool) answer {
	sql := c.SQL
	if sql == "" {
		sql = statement(r.Operation, s.profile.Table)
	}
	if inTransaction {
		return s.transaction(ctx, l, r, sql)
	}
	res := l.query(ctx, sql, parameters(r)...)
	if res.Err != nil {
		return classify(res.Err)
	}
	if !r.Operation.Writes() {
		return takeRow(r, res)
	}
	s.takeToken(l)
	return checkTag(res.CommandTag)
}

func parameters(r *Record) []string {
	if r.Operation.Writes() && r.Operation != Add {
		return []string{r.Key, strconv.FormatInt(r.Value, 10)}
	}
	return []string{r.Key}
}

// transaction runs the request between BEGIN and COMMIT. Before the COMMIT is
// sent nothing can have taken effect.
func (s *session) transaction(ctx context.Context, l *link, r *Record, sql string) answer {
	for _, step := range []func() error{
		func() error { return l.query(ctx, "begin").Err },
		func() error { return l.query(ctx, sql, parameters(r)...).Err },
	} {
		if err := step(); err != nil {
			a := classify(err)
			a.lost = true
			if a.outcome == Unknown {
				a.outcome = NotRun
			}
			return a
		}
	}
	res := l.query(ctx, "commit")
	if res.Err != nil {
		a := classify(res.Err)
		a.lost = true
		return a
	}
	if res.CommandTag.String() != "COMMIT" {
		return answer{outcome: NotRun, code: res.CommandTag.String()}
	}
	s.takeToken(l)
	return answer{outcome: Completed, code: labelOK}
}

// labelNoRow marks a write that met no row, labelBadAnswer an answer that is not
// a whole one.
const (
	labelNoRow     = "no-row"
	labelBadAnswer = "bad-answer"
)

func checkTag(tag pgconn.CommandTag) answer {
	if tag.RowsAffected() != 1 {
		return answer{outcome: NotRun, code: labelNoRow}
	}
	return answer{outcome: Completed, code: labelOK}
}

// takeRow notes what a read found; the checks judge it.
func takeRow(r *Record, res *pgconn.Result) answer {
	r.Value, r.AnswerKeys = 0, nil
	for _, row := range res.Rows {
		value, err := readRow(row)
		if err != nil {
			r.AnswerKeys = append(r.AnswerKeys, err.Error())
			return answer{outcome: Completed, code: labelBadAnswer}
		}
		r.Value = value
		r.AnswerKeys = append(r.AnswerKeys, string(row[0]))
	}
	return answer{outcome: Completed, code: labelOK}
}

func readRow(row [][]byte) (int64, error) {
	if len(row) != 2 {
		return 0, errors.Newf("a row of %d columns", len(row))
	}
	return strconv.ParseInt(string(row[1]), 10, 64)
}

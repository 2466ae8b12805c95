package load

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// answer is how one attempt ended.
type answer struct {
	outcome Outcome
	// code is the result code's name, an SQLSTATE or one of the labels below.
	code       string
	retryAfter time.Duration
	// lost: the connection can't be used any more.
	lost bool
}

// Labels of attempts that got no result code.
const (
	labelOK            = "ok"
	labelNotConnected  = "not-connected"
	labelNotSent       = "not-sent"
	labelClientTimeout = "client-timeout"
	labelConnectionCut = "connection-lost"
)

// byState finds the result code of an SQLSTATE.
var byState = func() map[string]result.Code {
	codes := map[string]result.Code{}
	for _, c := range result.All() {
		codes[c.SQLState()] = c
	}
	return codes
}()

// classify reads an attempt's error; nil is a completed request.
func classify(err error) answer {
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return answer{outcome: Completed, code: labelOK}
	case errors.As(err, &refused):
		return classifyRefusal(refused)
	case pgconn.SafeToRetry(err):
		return answer{outcome: NotRun, code: labelNotSent, lost: true}
	case errors.Is(err, context.DeadlineExceeded), pgconn.Timeout(err):
		return answer{outcome: Unknown, code: labelClientTimeout, lost: true}
	}
	return answer{outcome: Unknown, code: labelConnectionCut, lost: true}
}

// effect is the part of a result's message that states the effect: one code can
// come with several, so the message goes before the code's usual one.
var effect = regexp.MustCompile(`^BTS-\d+ .*?\((not run|unknown|run)\)`)

func classifyRefusal(e *pgconn.PgError) answer {
	a := answer{outcome: Unknown, code: e.Code, lost: e.Severity == "FATAL", retryAfter: retryAfter(e.Hint)}
	code, ours := byState[e.Code]
	if !ours {
		a.outcome = databaseOutcome(e.Code)
		return a
	}
	a.code = code.Name()
	ran := code.Ran().String()
	if m := effect.FindStringSubmatch(e.Message); m != nil {
		ran = m[1]
	}
	switch ran {
	case result.NotRun.String():
		a.outcome = NotRun
	case result.Done.String():
		a.outcome = Completed
	}
	return a
}

// databaseOutcome reads a database's own SQLSTATE. Shutdown, cancellation and
// internal errors may follow a commit; all others roll the statement back.
func databaseOutcome(state string) Outcome {
	for _, class := range []string{"08", "57", "58", "XX"} {
		if strings.HasPrefix(state, class) {
			return Unknown
		}
	}
	return NotRun
}

const retryHint = "retry_after_ms="

func retryAfter(hint string) time.Duration {
	text, ok := strings.CutPrefix(hint, retryHint)
	if !ok {
		return 0
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

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

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	outcome Outcome
	// code is the result code's name, an SQLSTATE or one of the labels below.
	code       string
	retryAfter time.Duration
	// connLost is set when the connection can't be used any more.
	connLost bool
}

// Labels of attempts that ended without a result code or SQLSTATE.
const (
	labelOK             = "ok"
	labelNotConnected   = "not-connected"
	labelNotSent        = "not-sent"
	labelClientTimeout  = "client-timeout"
	labelConnectionLost = "connection-lost"
)

// codesBySQLState maps SQLSTATEs to result codes.
var codesBySQLState = func() map[string]result.Code {
	codes := map[string]result.Code{}
	for _, c := range result.All() {
		codes[c.SQLState()] = c
	}
	return codes
}()

// classify converts the error of an attempt to its result; nil is a completed
// request.
func classify(err error) attemptResult {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return attemptResult{outcome: Completed, code: labelOK}
	case errors.As(err, &pgErr):
		return classifyRefusal(pgErr)
	case pgconn.SafeToRetry(err):
		return attemptResult{outcome: NotRun, code: labelNotSent, connLost: true}
	case errors.Is(err, context.DeadlineExceeded), pgconn.Timeout(err):
		return attemptResult{outcome: Unknown, code: labelClientTimeout, connLost: true}
	}
	return attemptResult{outcome: Unknown, code: labelConnectionLost, connLost: true}
}

// effectPattern matches the part of an error message that states whether the
// request ran. A result code can occur with several effects, so the message takes
// precedence over the code's usual effect.
var effectPattern = regexp.MustCompile(`^BTS-\d+ .*?\((not run|unknown|run)\)`)

func classifyRefusal(e *pgconn.PgError) attemptResult {
	a := attemptResult{outcome: Unknown, code: e.Code, connLost: e.Severity == "FATAL", retryAfter: retryAfter(e.Hint)}
	code, known := codesBySQLState[e.Code]
	if !known {
		a.outcome = databaseOutcome(e.Code)
		return a
	}
	a.code = code.Name()
	ran := code.Ran().String()
	if m := effectPattern.FindStringSubmatch(e.Message); m != nil {
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

// databaseOutcome returns the outcome for a database's own SQLSTATE. Connection,
// shutdown, cancellation, system and internal errors may follow a commit; all
// others roll the statement back.
func databaseOutcome(state string) Outcome {
	for _, class := range []string{"08", "57", "58", "XX"} {
		if strings.HasPrefix(state, class) {
			return Unknown
		}
	}
	return NotRun
}

const retryHintPrefix = "retry_after_ms="

func retryAfter(hint string) time.Duration {
	text, ok := strings.CutPrefix(hint, retryHintPrefix)
	if !ok {
		return 0
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

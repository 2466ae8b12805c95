package result

import (
	"fmt"
	"slices"
	"strings"
)

// Advice tells a caller what to do about a code.
type Advice string

// What callers do.
const (
	CorrectRequest Advice = "correct the request or its options"
	ComeBack       Advice = "send it again after the hint's time"
	Reconnect      Advice = "connect again, to any proxy, and send it again"
	BeginAgain     Advice = "begin the transaction again"
	AskByID        Advice = "send it again with the same request id, or read back what it writes"
	TakeAsDone     Advice = "take it as done"
	Forgo          Advice = "nothing more"
	AskForLess     Advice = "ask for less; a write among it may have run"
	ReadAgain      Advice = "read again what it depended on, and decide anew"
	AskOperator    Advice = "tell the operators"
)

// Advice returns what a caller does about the code.
func (c Code) Advice() Advice {
	switch c {
	case Leaving, TooManySessions:
		return Reconnect
	case TransactionFailed, TransactionAborted, NotInTransaction:
		return BeginAgain
	case WriteLost, ConfigConflict, ConfigTooOld:
		return ReadAgain
	case AlreadyRan:
		return TakeAsDone
	case ResultTooLarge:
		return AskForLess
	case Cancelled:
		return Forgo
	case NotAuthorized, BadCredentials, InvariantBroken:
		return AskOperator
	case PlatformUnavailable:
		return ComeBack
	}
	switch {
	case c.Ran() == Unknown:
		return AskByID
	case c >= firstOfLoad && c < firstOfConfig:
		return ComeBack
	}
	return CorrectRequest
}

// Bounds of the ranges of codes.
const (
	firstOfLoad   Code = 1100
	firstOfConfig Code = 1300
)

// Table returns docs/RESULT-CODES.md.
func Table() string {
	var b strings.Builder
	b.WriteString(tableHead)
	codes := All()
	slices.Sort(codes)
	for _, c := range codes {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", int(c), c.Name(), c.SQLState(), c.Text(), c.Ran(), c.Advice())
	}
	return b.String()
}

const tableHead = `# Result codes

Generated from pkg/result by ` + "`make docs`" + `; a test keeps the two equal.

A caller gets a result as a PostgreSQL error: the SQLSTATE is in the table, the message begins with
` + "`BTS-<number>`" + ` and says in brackets whether the request has run, and the hint, where there is one,
is ` + "`retry_after_ms=<milliseconds>`" + `. The message goes before the table's column "run": the same code can
come with less certainty, for instance when the first of several statements had completed. "not run" is a
proof: the request had no effect and may be sent again. Errors of a target's own (constraints, syntax) pass
through with their own SQLSTATE.

| number | name | SQLSTATE | meaning | run | what the caller does |
|---|---|---|---|---|---|
`

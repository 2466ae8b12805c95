// Package result holds the numbered result codes that callers and operators
// see. docs/RESULT-CODES.md lists them; a test keeps the two equal.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result. The number never changes its meaning.
type Code int

// Ran tells what is known about whether the request took effect.
type Ran int

// What a result says about the request's effect.
const (
	// NotRun is proved: the request had no effect and may be sent again.
	NotRun Ran = iota + 1
	// Unknown: the request may or may not have taken effect.
	Unknown
	// Done: the request took effect.
	Done
)

// String names the value as the docs do.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	case Done:
		return "run"
	}
	return "invalid"
}

// Error is a failed request as its caller sees it.
type Error struct {
	Code Code
	// Ran says whether the request may have taken effect.
	Ran Ran
	// RetryAfter says when to come back; zero means that coming back does not help.
	RetryAfter time.Duration
	// Detail is for a person.
	Detail string
}

// Error writes the code, the effect, the time to come back and the detail.
func (e *Error) Error() string {
	s := fmt.Sprintf("BTS-%d %s (%s)", int(e.Code), e.Code.Text(), e.Ran)
	if e.RetryAfter > 0 {
		s += fmt.Sprintf(" retry after %dms", e.RetryAfter.Milliseconds())
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// New makes an error whose effect is the one that the code stands for.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Ran: c.Ran(), Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy that tells the caller when to come back.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From finds the result in an error chain. An error without one becomes
// Internal, whose effect is unknown.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

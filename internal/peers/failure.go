// Package peers holds the Twirp clients for the other VMs and converts results to
// messages and back.
package peers

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Failure converts a result to its message; nil stays nil.
func Failure(e *result.Error) *peerpb.Failure {
	if e == nil {
		return nil
	}
	return &peerpb.Failure{
		Code:         int32(e.Code),
		Ran:          int32(e.Ran),
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
		Detail:       e.Detail,
	}
}

// Result converts a message to its result; nil stays nil.
func Result(f *peerpb.Failure) *result.Error {
	if f == nil {
		return nil
	}
	return &result.Error{
		Code:       result.Code(f.Code),
		Ran:        result.Ran(f.Ran),
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
		Detail:     f.Detail,
	}
}

// Position converts a message to a position; nil is the start of the log.
func Position(p *peerpb.Position) position.Position {
	return position.Position{Term: p.GetTerm(), Index: p.GetIndex()}
}

// PositionTo converts a position to its message.
func PositionTo(p position.Position) *peerpb.Position {
	return &peerpb.Position{Term: p.Term, Index: p.Index}
}

// Package contain keeps a fault in the handling of one connection from ending
// the whole daemon.
package contain

import (
	"log/slog"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Run calls f and ends a panic in it: the connection that f serves is lost, the
// other ones go on. Without it one malformed message that meets an unforeseen
// case ends the daemon with all its sessions. A broken invariant is passed on:
// after it the process's state can't be trusted, so it has to end.
//
// Run reports whether f returned by itself.
func Run(log *slog.Logger, what string, f func()) (returned bool) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		if err, ok := fault.(error); ok && isBrokenInvariant(err) {
			panic(fault)
		}
		log.Error("event=panic_contained", "in", what, "panic", fault, "stack", string(debug.Stack()))
	}()
	f()
	return true
}

func isBrokenInvariant(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.InvariantBroken
}

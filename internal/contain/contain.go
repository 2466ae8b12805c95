// Package contain recovers from panics in the handling of one connection, so that they
// don't end the whole daemon.
package contain

import (
	"log/slog"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Run calls f, and recovers from and logs a panic in it: only the connection that f serves
// is lost. Without it, one malformed message that hits an unforeseen case would end the
// daemon with all its sessions. A panic with a broken invariant is passed on: the process's
// state can't be trusted after it, so the process has to end.
//
// Run reports whether f returned without a panic.
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

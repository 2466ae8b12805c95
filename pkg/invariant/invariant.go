// Package invariant checks invariants at run time.
package invariant

import (
	"sync/atomic"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// disabled is negated so that the checks are on by default.
var disabled atomic.Bool

// Enable turns the checks on or off for the whole program; they start on.
// Safe for concurrent use.
func Enable(on bool) { disabled.Store(!on) }

// Enabled reports whether the checks are on, so that a caller can skip the work
// of an expensive check.
func Enabled() bool { return !disabled.Load() }

// Check panics with a *result.Error of code InvariantBroken when the checks are
// on and ok is false. format and args say what was expected and found.
func Check(ok bool, format string, args ...any) {
	if ok || disabled.Load() {
		return
	}
	panic(result.New(result.InvariantBroken, format, args...))
}

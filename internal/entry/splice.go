package entry

import (
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
)

// stepKind says which frames answer a message.
type stepKind int

const (
	stepLocal stepKind = iota
	stepQuery
	stepParse
	stepBind
	stepDescribe
	stepExecute
	stepClose
)

// step is one message of a unit and how it is answered.
type step struct {
	kind     stepKind
	injected bool   // the entry added it: its answer is not the caller's
	name     string // of a prepared statement
	local    *local // to be run when the unit is served
	reply    []byte // the entry's own answer
}

// endedBy reports whether a frame of the type is the last of the step's answer.
func (st *step) endedBy(frame byte) bool {
	switch st.kind {
	case stepParse:
		return frame == pgwire.TypeParseComplete
	case stepBind:
		return frame == pgwire.TypeBindComplete
	case stepDescribe:
		return frame == pgwire.TypeRowDescription || frame == pgwire.TypeNoData
	case stepExecute:
		return frame == pgwire.TypeCommandComplete || frame == pgwire.TypeEmptyQuery || frame == pgwire.TypePortalSuspended
	case stepClose:
		return frame == pgwire.TypeCloseComplete
	case stepQuery, stepLocal:
	}
	return false
}

// splicer puts the target's frames and the entry's own in the order of the
// caller's messages.
type splicer struct {
	steps  []step
	next   int // the step whose answer comes next
	failed bool
	out    []byte
}

// splice returns the caller's answer, and how many steps were answered without
// an error.
func (u *unit) splice(messages []byte) ([]byte, int, error) {
	s := splicer{steps: u.steps, out: make([]byte, 0, len(messages))}
	s.own()
	err := pgwire.Split(messages, s.take)
	return s.out, s.next, err
}

// own adds the entry's answers that are due.
func (s *splicer) own() {
	for s.next < len(s.steps) && s.steps[s.next].kind == stepLocal {
		s.out = append(s.out, s.steps[s.next].reply...)
		s.next++
	}
}

func (s *splicer) take(f pgwire.Frame) error {
	if f.Type() == pgwire.TypeError {
		s.failed = true
	}
	done := !s.failed && s.next < len(s.steps) && s.steps[s.next].endedBy(f.Type())
	if !done || !s.steps[s.next].injected {
		s.out = append(s.out, f...)
	}
	if done {
		s.next++
		s.own()
	}
	return nil
}

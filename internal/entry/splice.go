package entry

import (
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
)

// stepKind determines which frames answer a message.
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
	kind           stepKind
	injected       bool            // added by the entry; its answer is not sent to the caller
	name           string          // of a prepared statement
	localStatement *localStatement // statement to be executed by the entry when the unit is served
	reply          []byte          // the entry's own answer
}

// endedBy reports whether a frame of the type ends the step's answer.
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

// splicer merges the target's frames and the entry's own answers in the order of the
// caller's messages.
type splicer struct {
	steps  []step
	next   int // index of the step that the next frame answers
	failed bool
	out    []byte
}

// splice merges the target's messages with the entry's own answers. It returns the
// answer to the caller and the number of steps that were answered without an error.
func (u *unit) splice(messages []byte) ([]byte, int, error) {
	s := splicer{steps: u.steps, out: make([]byte, 0, len(messages))}
	s.appendLocal()
	err := pgwire.Split(messages, s.addFrame)
	return s.out, s.next, err
}

// appendLocal appends the entry's answers to the local steps that come next.
func (s *splicer) appendLocal() {
	for s.next < len(s.steps) && s.steps[s.next].kind == stepLocal {
		s.out = append(s.out, s.steps[s.next].reply...)
		s.next++
	}
}

func (s *splicer) addFrame(f pgwire.Frame) error {
	if f.Type() == pgwire.TypeError {
		s.failed = true
	}
	done := !s.failed && s.next < len(s.steps) && s.steps[s.next].endedBy(f.Type())
	if !done || !s.steps[s.next].injected {
		s.out = append(s.out, f...)
	}
	if done {
		s.next++
		s.appendLocal()
	}
	return nil
}

package forward

import (
	"maps"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

const (
	// maxSetupBytes bounds what a holder keeps for one connection, in bytes: several statements of the largest size.
	maxSetupBytes = 8 << 20
	// entryOverhead is approximately what a map entry takes besides its strings, in bytes.
	entryOverhead = 64
)

// setup is what another VM has set up on its connection: the values and prepared statements with which its commands
// run. The zero value is ready to use.
type setup struct {
	values   map[string]string
	prepared map[string]statement.Prepared
	// valueBytes and preparedBytes are the sizes of the two.
	valueBytes, preparedBytes int
}

// set sets a value. The previous map is not modified: a link may still refer to it.
func (s *setup) set(name, value string) *result.Error {
	size := s.valueBytes + entrySize(name, value)
	if old, ok := s.values[name]; ok {
		size -= entrySize(name, old)
	}
	if failure := s.checkSize(size, s.preparedBytes); failure != nil {
		return failure
	}
	values := maps.Clone(s.values)
	if values == nil {
		values = map[string]string{}
	}
	values[name] = value
	s.values, s.valueBytes = values, size
	return nil
}

func (s *setup) prepare(name string, p statement.Prepared) *result.Error {
	size := s.preparedBytes + entrySize(name, p.Shape)
	if old, ok := s.prepared[name]; ok {
		size -= entrySize(name, old.Shape)
	}
	if failure := s.checkSize(s.valueBytes, size); failure != nil {
		return failure
	}
	if s.prepared == nil {
		s.prepared = map[string]statement.Prepared{}
	}
	s.prepared[name], s.preparedBytes = p, size
	return nil
}

func (s *setup) reset() { *s = setup{} }

// checkSize refuses values that are too large for any connection, and statements that a new connection may take.
func (s *setup) checkSize(valueBytes, preparedBytes int) *result.Error {
	switch {
	case valueBytes > maxSetupBytes:
		return result.New(result.MessageTooLarge, "session values of more than %d bytes", maxSetupBytes)
	case valueBytes+preparedBytes > maxSetupBytes:
		return result.New(result.Overloaded, "values and prepared statements of more than %d bytes on one connection", maxSetupBytes)
	}
	return nil
}

func entrySize(name, value string) int { return len(name) + len(value) + entryOverhead }

// checkCommand refuses a command that no VM sends: a damaged message, or one of another program, can be decoded as one.
func checkCommand(c target.Command) *result.Error {
	switch c.Kind {
	case target.Caller, target.Execute:
		if c.ID == "" || c.Text == "" {
			return result.New(result.BadProtocol, "a statement without an id or a text")
		}
	case target.Begin, target.BeginReadOnly, target.Rollback, target.Reset, target.Set, target.PrepareRead, target.PrepareWrite:
	default:
		return result.New(result.BadProtocol, "unknown kind of command %d", c.Kind)
	}
	return nil
}

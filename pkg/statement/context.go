package statement

import (
	"maps"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Bounds of what one session may keep. They are far above what sessions use and
// keep a faulty caller from filling the memory.
const (
	MaxValues   = 64
	MaxPrepared = 256
)

// Prepared is a statement that a session prepared.
type Prepared struct {
	Shape  string
	Writes bool
}

// Context is what a session has set up: its values and prepared statements. They
// are kept here and not at a target, since connections are shared by sessions.
// The zero value is ready.
type Context struct {
	values   map[string]string
	prepared map[string]Prepared
}

// Values returns the session's values; they must not be changed.
func (c *Context) Values() map[string]string { return c.values }

// Apply carries out Set, Prepare and Deallocate.
func (c *Context) Apply(s *Statement) *result.Error {
	switch s.Kind {
	case Set:
		return c.set(s.Name, s.Value)
	case Prepare:
		return c.prepare(s.Name, Prepared{Shape: s.Shape, Writes: s.Writes})
	case Deallocate:
		if _, ok := c.prepared[s.Name]; !ok {
			return unknown(s.Name)
		}
		delete(c.prepared, s.Name)
		return nil
	}
	return result.New(result.Internal, "%s changes no session", s.Kind)
}

func (c *Context) set(name, value string) *result.Error {
	if _, ok := c.values[name]; !ok && len(c.values) >= MaxValues {
		return result.New(result.BadOption, "more than %d values", MaxValues)
	}
	next := maps.Clone(c.values) // Statements under way still read the former one.
	if next == nil {
		next = map[string]string{}
	}
	next[name] = value
	c.values = next
	return nil
}

func (c *Context) prepare(name string, p Prepared) *result.Error {
	if _, ok := c.prepared[name]; !ok && len(c.prepared) >= MaxPrepared {
		return result.New(result.BadOption, "more than %d prepared statements", MaxPrepared)
	}
	if c.prepared == nil {
		c.prepared = map[string]Prepared{}
	}
	c.prepared[name] = p
	return nil
}

// Prepared returns the statement prepared under the name.
func (c *Context) Prepared(name string) (Prepared, *result.Error) {
	p, ok := c.prepared[name]
	if !ok {
		return p, unknown(name)
	}
	return p, nil
}

func unknown(name string) *result.Error {
	return result.New(result.UnknownStatement, "%q", name)
}

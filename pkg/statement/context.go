package statement

import (
	"maps"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Bounds on the state of one session. They are far above normal use and prevent a faulty
// caller from exhausting the memory.
const (
	MaxValues   = 64
	MaxPrepared = 256
)

// Prepared is a statement that a session has prepared.
type Prepared struct {
	Shape  string
	Writes bool
}

// Context is the state that a session has set up: its values and prepared statements. They
// are kept here and not at a target, since sessions share connections.
// The zero value is ready to use.
type Context struct {
	values   map[string]string
	prepared map[string]Prepared
}

// Values returns the session's values. The map must not be modified.
func (c *Context) Values() map[string]string { return c.values }

// Apply executes a Set, Prepare or Deallocate statement.
func (c *Context) Apply(s *Statement) *result.Error {
	switch s.Kind {
	case Set:
		return c.set(s.Name, s.Value)
	case Prepare:
		return c.prepare(s.Name, Prepared{Shape: s.Shape, Writes: s.Writes})
	case Deallocate:
		if _, ok := c.prepared[s.Name]; !ok {
			return unknownStatement(s.Name)
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
	updated := maps.Clone(c.values) // Running statements may still read the old map.
	if updated == nil {
		updated = map[string]string{}
	}
	updated[name] = value
	c.values = updated
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
		return p, unknownStatement(name)
	}
	return p, nil
}

func unknownStatement(name string) *result.Error {
	return result.New(result.UnknownStatement, "%q", name)
}

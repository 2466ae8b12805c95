package statement

import (
	"maps"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Bounds on the state of one session. They are far above normal use and prevent a faulty
// caller from exhausting the memory.
const (
	MaxValues   = 64
	MaxPrepared = 256
	// MaxBytes bounds the size of all values and prepared statements with their names, in bytes. It is that of the longest
	// message.
	MaxBytes = 1 << 20
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
	// bytes is the size of all values and prepared statements with their names.
	bytes int
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
		return c.deallocate(s.Name)
	}
	return result.New(result.Internal, "%s changes no session", s.Kind)
}

func (c *Context) set(name, value string) *result.Error {
	old, ok := c.values[name]
	if !ok && len(c.values) >= MaxValues {
		return result.New(result.BadOption, "more than %d values", MaxValues)
	}
	if failure := c.replace(sizeOf(name, old, ok), sizeOf(name, value, true)); failure != nil {
		return failure
	}
	updated := maps.Clone(c.values) // Running statements may still read the old map.
	if updated == nil {
		updated = map[string]string{}
	}
	// The strings are parts of a message, which they would keep in memory.
	updated[strings.Clone(name)] = strings.Clone(value)
	c.values = updated
	return nil
}

func (c *Context) prepare(name string, p Prepared) *result.Error {
	old, ok := c.prepared[name]
	if !ok && len(c.prepared) >= MaxPrepared {
		return result.New(result.BadOption, "more than %d prepared statements", MaxPrepared)
	}
	if failure := c.replace(sizeOf(name, old.Shape, ok), sizeOf(name, p.Shape, true)); failure != nil {
		return failure
	}
	if c.prepared == nil {
		c.prepared = map[string]Prepared{}
	}
	p.Shape = strings.Clone(p.Shape)
	c.prepared[strings.Clone(name)] = p
	return nil
}

func (c *Context) deallocate(name string) *result.Error {
	old, ok := c.prepared[name]
	if !ok {
		return unknownStatement(name)
	}
	c.bytes -= sizeOf(name, old.Shape, true)
	delete(c.prepared, name)
	return nil
}

// replace counts an entry of the session in place of an older one, unless the session would become too large.
func (c *Context) replace(oldSize, newSize int) *result.Error {
	if c.bytes-oldSize+newSize > MaxBytes {
		return result.New(result.BadOption, "values and prepared statements of more than %d bytes", MaxBytes)
	}
	c.bytes += newSize - oldSize
	return nil
}

// sizeOf returns the size of an entry in bytes, or 0 if it doesn't exist.
func sizeOf(name, text string, exists bool) int {
	if !exists {
		return 0
	}
	return len(name) + len(text)
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

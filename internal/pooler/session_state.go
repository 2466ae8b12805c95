package pooler

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// errCopy is returned when a statement starts a COPY, which is not supported.
var errCopy = errors.New("pooler: COPY is not served")

// alteringTags are the prefixes of the command tags of statements that change the
// session state at the target. Without a reset, the next request on the connection
// would run under the settings of another caller, or unbound from its term.
var alteringTags = [][]byte{
	[]byte("SET\x00"), []byte("RESET\x00"), []byte("DISCARD"), []byte("PREPARE\x00"),
	[]byte("DEALLOCATE"), []byte("LISTEN\x00"), []byte("DECLARE"),
}

// unbindingTags are the prefixes of the command tags of statements that reset
// every setting.
var unbindingTags = [][]byte{[]byte("RESET\x00"), []byte("DISCARD")}

// noteCommand records whether a completed command, given by its tag, changed the
// session or reset its settings.
func (c *conn) noteCommand(tag []byte) {
	c.altered = c.altered || hasAnyPrefix(tag, alteringTags)
	c.unbound = c.unbound || hasAnyPrefix(tag, unbindingTags)
}

func hasAnyPrefix(tag []byte, prefixes [][]byte) bool {
	for _, t := range prefixes {
		if bytes.HasPrefix(tag, t) {
			return true
		}
	}
	return false
}

// resetSession restores the connection to the state of a new one.
func (c *conn) resetSession(ctx context.Context) error {
	a, err := c.query(ctx, "DISCARD ALL")
	if err != nil {
		return err
	}
	if a.sqlState != "" {
		return &targetError{state: a.sqlState}
	}
	c.settings = connSettings{}
	c.altered, c.unbound = false, false
	return nil
}

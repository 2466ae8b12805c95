package pooler

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// errCopy ends a COPY, which is not served.
var errCopy = errors.New("pooler: COPY is not served")

// alteringTags begin the completions of statements that change the session at
// the target: the next request on its connection would run under the settings of
// another caller, or unbound from its term.
var alteringTags = [][]byte{
	[]byte("SET\x00"), []byte("RESET\x00"), []byte("DISCARD"), []byte("PREPARE\x00"),
	[]byte("DEALLOCATE"), []byte("LISTEN\x00"), []byte("DECLARE"),
}

// unbindingTags begin the completions of those that reset every setting.
var unbindingTags = [][]byte{[]byte("RESET\x00"), []byte("DISCARD")}

// noteCommand looks at the tag of a command that completed.
func (c *conn) noteCommand(tag []byte) {
	c.altered = c.altered || hasPrefix(tag, alteringTags)
	c.unbound = c.unbound || hasPrefix(tag, unbindingTags)
}

func hasPrefix(tag []byte, prefixes [][]byte) bool {
	for _, t := range prefixes {
		if bytes.HasPrefix(tag, t) {
			return true
		}
	}
	return false
}

// resetSession brings the connection to the state of a new one.
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

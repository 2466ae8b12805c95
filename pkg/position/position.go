// Package position defines positions in the log of a database group, and their order.
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Position is a place in the log of a group: the term in which the entry was
// committed and its index in the log. The zero value comes before every entry.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Compare returns -1, 0 or 1 as p comes before, at or after q. A later term
// comes after every index of an earlier one.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term:
		return -1
	case p.Term > q.Term:
		return 1
	case p.Index < q.Index:
		return -1
	case p.Index > q.Index:
		return 1
	}
	return 0
}

// Less reports whether p comes before q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of the two.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String returns the position as term/index.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Index, 10)
}

// Parse parses a position in the form that String returns.
func Parse(s string) (Position, error) {
	term, index, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errors.Newf("position %q does not have the form term/index", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term: %w", s, err)
	}
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: index: %w", s, err)
	}
	return Position{Term: t, Index: i}, nil
}

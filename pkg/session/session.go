// Package session holds what a session must see again: the position of its last
// acknowledged write in each group, and the signed token that carries these
// floors from one entry to the next.
//
// It does no I/O and is not safe for concurrent use.
package session

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Mode says where a session's floor is known.
type Mode int

// The modes of a connection.
const (
	// Anonymous: the session is the connection, so its floor is known exactly.
	Anonymous Mode = iota
	// WithToken: the caller brings the floors, and gets them anew on each write.
	WithToken
	// Roaming: the session has an id but no token. It may have written through
	// another entry, so each read needs a floor fetch that began after the read
	// arrived.
	Roaming
)

// NewToken is the token option of a session that wants its first token.
const NewToken = "new"

// Session is one caller's session as its entry sees it.
type Session struct {
	ID     string
	Mode   Mode
	Floors Floors
}

// Floor is what a read has to see.
type Floor struct {
	Position position.Position
	// Fetch: the position is a lower bound only; the read waits for a floor
	// fetch that begins after it arrived.
	Fetch bool
}

// Open starts a session from the options of a connection: id is empty for an
// anonymous one; token is empty, NewToken or a token of the same session.
func Open(id, token string, ring *KeyRing) (*Session, error) {
	if id == "" {
		if token != "" {
			return nil, result.New(result.BadOption, "a token needs a session id")
		}
		return &Session{Mode: Anonymous}, nil
	}
	if len(id) > MaxSessionLength {
		return nil, result.New(result.BadOption, "the session id is longer than %d bytes", MaxSessionLength)
	}
	s := &Session{ID: id, Mode: Roaming}
	if token == "" {
		return s, nil
	}
	s.Mode = WithToken
	if token == NewToken {
		return s, nil
	}
	return s, s.Present(token, ring)
}

// Present takes over the floors of a token that the caller brings.
func (s *Session) Present(token string, ring *KeyRing) error {
	t, err := ring.Decode(token, s.ID)
	if err != nil {
		return err
	}
	s.Mode = WithToken
	s.Floors.merge(&t.Floors)
	return nil
}

// Token returns the session's present token, to be sent after each write.
func (s *Session) Token(ring *KeyRing, version uint64) (string, error) {
	return ring.Encode(&Token{Session: s.ID, IssuedAtVersion: version, Floors: s.Floors})
}

// ReadFloor returns what a read of the group must see. It fails with WriteLost,
// once for each loss, when a write of the session is missing from the group.
func (s *Session) ReadFloor(g *topology.Group) (Floor, error) {
	if err := s.Floors.Settle(g); err != nil {
		return Floor{}, err
	}
	return Floor{Position: s.Floors.Floor(g.ID), Fetch: s.Mode == Roaming}, nil
}

// Acknowledged notes that a write of the session was acknowledged at p.
func (s *Session) Acknowledged(group topology.GroupID, p position.Position) {
	s.Floors.Raise(group, p)
}

// Package session implements the read-your-writes state of a session: its floors,
// which are the positions of its last acknowledged write in each group, and the
// signed token that carries them from one entry (the VM that a caller connects
// to) to the next.
//
// It does no I/O and is not safe for concurrent use.
package session

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Mode determines where the floors of a session are known.
type Mode int

// The modes of a session.
const (
	// Anonymous is the mode of a session that consists of one connection, so its
	// floors are known exactly.
	Anonymous Mode = iota
	// WithToken is the mode of a session whose caller presents the floors in a token
	// and gets a new token after each write.
	WithToken
	// Roaming is the mode of a session with an id but no token. It may have written
	// through another entry, so each read needs a floor fetch that began after the
	// read arrived.
	Roaming
)

// NewToken is the value of the token option that requests a session's first token.
const NewToken = "new"

// Session is the state that an entry keeps for one caller's session.
type Session struct {
	ID     string
	Mode   Mode
	Floors Floors
}

// Floor is the position that a read has to see.
type Floor struct {
	Position position.Position
	// Fetch is set if Position is only a lower bound. The read then has to wait for
	// a floor fetch that begins after the read arrived.
	Fetch bool
}

// Open starts a session from the options of a connection. id is empty for an
// anonymous session; token is empty, NewToken or a token of the same session.
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
	return s, s.MergeToken(token, ring)
}

// MergeToken verifies a token that the caller presents and merges its floors. The
// mode of the session becomes WithToken.
func (s *Session) MergeToken(token string, ring *KeyRing) error {
	t, err := ring.Decode(token, s.ID)
	if err != nil {
		return err
	}
	s.Mode = WithToken
	s.Floors.merge(&t.Floors)
	return nil
}

// Token returns a new token with the session's current floors, to be sent to the
// caller after each write. version is the version of the configuration.
func (s *Session) Token(ring *KeyRing, version uint64) (string, error) {
	return ring.Encode(&Token{Session: s.ID, IssuedAtVersion: version, Floors: s.Floors})
}

// ReadFloor returns the floor for a read of the group. If the group has lost
// writes of the session, it fails with WriteLost, once for each loss.
func (s *Session) ReadFloor(g *topology.Group) (Floor, error) {
	if err := s.Floors.Reconcile(g); err != nil {
		return Floor{}, err
	}
	return Floor{Position: s.Floors.Floor(g.ID), Fetch: s.Mode == Roaming}, nil
}

// Acknowledged records that a write of the session was acknowledged at p.
func (s *Session) Acknowledged(group topology.GroupID, p position.Position) {
	s.Floors.Raise(group, p)
}

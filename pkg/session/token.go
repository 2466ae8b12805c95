package session

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Limits of a token; lengths are in bytes. A caller sends its token back in each
// start-up message, so it must stay small.
const (
	MaxFloors        = 64
	MaxGroupLength   = 128
	MaxSessionLength = 128
	MaxTokenLength   = 16 << 10
)

const (
	tokenFormat = 1
	headerSize  = 2 // format and key id
)

// Token carries the floors of a session.
type Token struct {
	Session string
	// IssuedAtVersion is the version of the configuration when the token was issued.
	IssuedAtVersion uint64
	Floors          Floors
}

// Encode returns the signed and encoded token. It fails with BadToken rather than
// omit a floor: without the floor a later read could miss the session's write.
func (r *KeyRing) Encode(t *Token) (string, error) {
	if n := t.Floors.Len(); n > MaxFloors {
		return "", result.New(result.BadToken, "%d floors, at most %d fit a token", n, MaxFloors)
	}
	if t.Session == "" || len(t.Session) > MaxSessionLength {
		return "", result.New(result.BadToken, "a session id has 1 to %d bytes", MaxSessionLength)
	}
	body := []byte{tokenFormat, byte(r.active)}
	body = appendString(body, t.Session)
	body = binary.AppendUvarint(body, t.IssuedAtVersion)
	body = binary.AppendUvarint(body, uint64(t.Floors.Len()))
	for _, group := range t.Floors.sortedGroups() {
		if len(group) > MaxGroupLength {
			return "", result.New(result.BadToken, "group %q is longer than %d bytes", group, MaxGroupLength)
		}
		for _, p := range t.Floors.groups[group] {
			body = appendString(body, string(group))
			body = binary.AppendUvarint(body, p.Term)
			body = binary.AppendUvarint(body, p.Index)
		}
	}
	return base64.RawURLEncoding.EncodeToString(r.sign(body, r.active)), nil
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// Decode verifies and decodes a token of the given session. It fails with BadToken
// for a malformed token or a token of another session, and with TokenForged for a
// token that was not signed with a key of the ring.
func (r *KeyRing) Decode(encoded, session string) (*Token, error) {
	if len(encoded) > MaxTokenLength {
		return nil, result.New(result.BadToken, "longer than %d bytes", MaxTokenLength)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	// The decoder skips line breaks. Without this check, one token would have many
	// valid encodings, some of which would break a log line.
	if err != nil || strings.ContainsAny(encoded, "\r\n") {
		return nil, result.New(result.BadToken, "not base64url")
	}
	if len(raw) < headerSize+sha256.Size || raw[0] != tokenFormat {
		return nil, result.New(result.BadToken, "not a token of format %d", tokenFormat)
	}
	body, signature := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	// The signature is verified before anything is parsed, so that forged input
	// never reaches the parser.
	if !r.verify(body, signature, KeyID(body[1])) {
		return nil, result.New(result.TokenForged, "key %d did not sign it", body[1])
	}
	t, ok := parseToken(body[headerSize:])
	if !ok {
		return nil, result.New(result.BadToken, "the content is malformed")
	}
	if t.Session != session {
		return nil, result.New(result.BadToken, "it belongs to another session")
	}
	return t, nil
}

func parseToken(body []byte) (*Token, bool) {
	p := parser{rest: body}
	t := &Token{Session: p.text(MaxSessionLength), IssuedAtVersion: p.uvarint()}
	count := p.uvarint()
	if p.failed || count > MaxFloors {
		return nil, false
	}
	for range count {
		group := topology.GroupID(p.text(MaxGroupLength))
		t.Floors.Raise(group, position.Position{Term: p.uvarint(), Index: p.uvarint()})
	}
	return t, !p.failed && len(p.rest) == 0
}

// parser reads the fields of a token. After a failure it returns zero values.
type parser struct {
	rest   []byte
	failed bool
}

func (p *parser) uvarint() uint64 {
	v, n := binary.Uvarint(p.rest)
	if n <= 0 {
		p.fail()
		return 0
	}
	p.rest = p.rest[n:]
	return v
}

func (p *parser) text(limit int) string {
	n := p.uvarint()
	if n > uint64(limit) || n > uint64(len(p.rest)) {
		p.fail()
		return ""
	}
	s := string(p.rest[:n])
	p.rest = p.rest[n:]
	return s
}

func (p *parser) fail() {
	p.failed = true
	p.rest = nil
}

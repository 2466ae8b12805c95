package session

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// MinKeyLength is the shortest signing key, in bytes: shorter ones weaken
// HMAC-SHA256 below the length of its output.
const MinKeyLength = 32

// KeyID names a signing key. A token carries the id of its key, so that tokens
// signed before a rotation stay valid while their key is in the ring.
type KeyID byte

// KeyRing signs with one key and verifies with any. It does not change, so it
// is safe for concurrent use.
type KeyRing struct {
	active KeyID
	keys   map[KeyID][]byte
}

// NewKeyRing returns a ring that signs with the active key. To rotate, put the
// new key in every ring first, then make it active, and drop the old one once
// no session holds a token of it.
func NewKeyRing(active KeyID, keys map[KeyID][]byte) (*KeyRing, error) {
	if _, ok := keys[active]; !ok {
		return nil, errors.Newf("session: the ring has no key %d", active)
	}
	ring := &KeyRing{active: active, keys: make(map[KeyID][]byte, len(keys))}
	for id, key := range keys {
		if len(key) < MinKeyLength {
			return nil, errors.Newf("session: key %d has %d bytes of at least %d", id, len(key), MinKeyLength)
		}
		ring.keys[id] = append([]byte(nil), key...)
	}
	return ring, nil
}

// sign appends the signature of body.
func (r *KeyRing) sign(body []byte, id KeyID) []byte {
	mac := hmac.New(sha256.New, r.keys[id])
	mac.Write(body)
	return mac.Sum(body)
}

// verify reports whether signature is that of body under the key.
func (r *KeyRing) verify(body, signature []byte, id KeyID) bool {
	key, ok := r.keys[id]
	if !ok {
		return false
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return hmac.Equal(mac.Sum(nil), signature)
}

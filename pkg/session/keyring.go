package session

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// MinKeyLength is the minimum length of a signing key, in bytes. A key shorter
// than the output of HMAC-SHA256 weakens it.
const MinKeyLength = 32

// KeyID identifies a signing key. A token contains the id of its key, so that
// tokens signed before a rotation stay valid while their key is in the ring.
type KeyID byte

// KeyRing signs with its active key and verifies with any of its keys. It is
// immutable, so it is safe for concurrent use.
type KeyRing struct {
	active KeyID
	keys   map[KeyID][]byte
}

// NewKeyRing returns a key ring that signs with the active key. To rotate keys,
// first add the new key to every ring, then make it active, and remove the old
// key once no session holds a token signed with it.
func NewKeyRing(active KeyID, keys map[KeyID][]byte) (*KeyRing, error) {
	if _, ok := keys[active]; !ok {
		return nil, errors.Newf("session: active key %d is not in the key ring", active)
	}
	ring := &KeyRing{active: active, keys: make(map[KeyID][]byte, len(keys))}
	for id, key := range keys {
		if len(key) < MinKeyLength {
			return nil, errors.Newf("session: key %d has %d bytes, need at least %d", id, len(key), MinKeyLength)
		}
		ring.keys[id] = append([]byte(nil), key...)
	}
	return ring, nil
}

// sign returns body followed by its signature.
func (r *KeyRing) sign(body []byte, id KeyID) []byte {
	mac := hmac.New(sha256.New, r.keys[id])
	mac.Write(body)
	return mac.Sum(body)
}

// verify reports whether signature is the signature of body with key id.
func (r *KeyRing) verify(body, signature []byte, id KeyID) bool {
	key, ok := r.keys[id]
	if !ok {
		return false
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return hmac.Equal(mac.Sum(nil), signature)
}

package customer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Key is a keyed hash of a customer's plain key. A process keeps, compares and passes on only the
// hash. The zero value means no key.
type Key [sha256.Size]byte

// secret is generated at each start, so that a leaked Key can't be looked up in a precomputed table,
// and the time of a comparison reveals nothing about the plain key.
var secret = newSecret()

func newSecret() []byte {
	s := make([]byte, sha256.Size)
	_, _ = rand.Read(s) // rand.Read never fails.
	return s
}

// KeyOf returns the Key for a plain key. It differs from process to process.
func KeyOf(plain string) Key {
	if plain == "" {
		return Key{}
	}
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(plain)) // A hash never fails.
	var k Key
	mac.Sum(k[:0])
	return k
}

// String keeps keys out of logs and errors.
func (Key) String() string { return "key" }

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Canonical encodes the document as plain JSON with every default written out,
// so that different defaults in a later version do not change an accepted
// document. Parse decodes the result to an equal document.
func Canonical(doc *Document) ([]byte, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, result.New(result.Internal, "write configuration: %v", err)
	}
	return raw, nil
}

// Hash returns the SHA-256 of a canonical document in hexadecimal. It identifies
// the document by its content.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

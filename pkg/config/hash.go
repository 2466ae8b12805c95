package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Canonical writes the document as plain JSON with every default spelt out, so
// that a later version's other defaults do not change what was accepted. Parse
// reads it back to an equal document.
func Canonical(doc *Document) ([]byte, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, result.New(result.Internal, "write configuration: %v", err)
	}
	return raw, nil
}

// Hash names a canonical document by its content: SHA-256 in hexadecimal.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

package authn

import (
	"crypto/rand"
	"encoding/base64"
)

// Prefixes tell keys and tokens apart, and let scanners find leaked ones.
const (
	KeyPrefix   = "drk_" // callers' keys
	TokenPrefix = "dro_" // operators' tokens

	secretBytes = 32
)

// NewKey returns a new key for a caller.
func NewKey() string { return KeyPrefix + secret() }

// NewToken returns a new token for an operator.
func NewToken() string { return TokenPrefix + secret() }

// secret returns 256 random bits in URL-safe letters.
func secret() string {
	b := make([]byte, secretBytes)
	// Read never fails: the program is ended if the system has no randomness.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

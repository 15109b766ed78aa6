package authn

import (
	"crypto/rand"
	"encoding/base64"
)

// Prefixes distinguish keys from tokens and let secret scanners find leaked ones.
const (
	KeyPrefix   = "drk_" // callers' keys
	TokenPrefix = "dro_" // operators' tokens

	secretBytes = 32
)

// NewKey returns a new key for a caller.
func NewKey() string { return KeyPrefix + randomSecret() }

// NewToken returns a new token for an operator.
func NewToken() string { return TokenPrefix + randomSecret() }

// randomSecret returns 256 random bits in unpadded URL-safe base64.
func randomSecret() string {
	b := make([]byte, secretBytes)
	// Read never returns an error: it ends the program if the system's random
	// source fails.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Package authn finds out whose key came with a request, decides who may use
// a route, keeps credentials from endpoints, and stops the calls of keys that
// are withdrawn.
//
// The work is split in two filters around the route filter. Identify runs
// first: it refuses keys in the wrong place and fills in the customer when a
// valid key is there, but lets calls without one pass, as the route may be
// open to all. Authorize runs after the route is known: it refuses the calls
// that need a key and have none, and watches the key while the call runs.
package authn

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
)

// Digest returns the form in which a key is stored and compared: its SHA-256
// digest in lower-case hex.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Credentials returns the different keys in the credential headers of r.
func Credentials(h http.Header) []string {
	var keys []string
	add := func(key string) {
		key = strings.TrimSpace(key)
		if key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, v := range h["Authorization"] {
		scheme, rest, found := strings.Cut(strings.TrimSpace(v), " ")
		switch {
		case !found:
			add(scheme)
		case strings.EqualFold(scheme, "Bearer"):
			add(rest)
		default:
			add(v)
		}
	}
	for _, v := range h["X-Api-Key"] {
		add(v)
	}
	for _, v := range h["Api-Key"] {
		add(v)
	}
	return keys
}

// forwarded lists the caller's headers that an endpoint may see. All others
// stay at the entry.
var forwarded = []string{
	"Accept",
	"Accept-Language",
	"Content-Language",
	"Content-Type",
	"Idempotency-Key",
	"If-Match",
	"If-Modified-Since",
	"If-None-Match",
	"If-Unmodified-Since",
	"Range",
	"Traceparent",
	"Tracestate",
}

// StripCredentials leaves in h only the headers that an endpoint may see. It
// works by a list of what may pass, so that a credential in a header that
// nobody thought of stays behind too. Trailers and cookies never pass.
func StripCredentials(h http.Header) {
	for name := range h {
		if !slices.Contains(forwarded, name) {
			delete(h, name)
		}
	}
}

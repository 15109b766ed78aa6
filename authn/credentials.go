// Package authn authenticates callers by their API key, authorizes them for a
// route, prevents credentials from reaching endpoints, and cancels the calls
// of withdrawn keys.
//
// It provides two filters, which run before and after the route filter.
// Identify runs first: it rejects keys outside of the credential headers and
// sets the customer of a valid key, but passes calls without one, as the route
// may be open to all. Authorizer.Authorize runs once the route is known: it
// rejects calls without a key on routes that need one, and cancels a running
// call when its key is withdrawn.
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

// Credentials returns the distinct keys in the credential headers of h.
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

// forwardedHeaders lists the caller's headers that are forwarded to endpoints.
// All others are dropped at the entry.
var forwardedHeaders = []string{
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

// StripCredentials deletes from h all headers that are not on the allow list
// forwardedHeaders. It is an allow list so that a credential in an unforeseen
// header is dropped too. Trailers and cookies are never forwarded.
func StripCredentials(h http.Header) {
	for name := range h {
		if !slices.Contains(forwardedHeaders, name) {
			delete(h, name)
		}
	}
}

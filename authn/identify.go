package authn

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/pipeline"
)

// credentialNames holds the names, in lower case, of query parameters and
// cookies that are rejected whatever their value is.
var credentialNames = map[string]bool{
	"access_token":  true,
	"api-key":       true,
	"api_key":       true,
	"apikey":        true,
	"authorization": true,
	"x-api-key":     true,
}

// noConfigRetryAfter is the Retry-After of calls rejected because the entry has
// no configuration yet.
const noConfigRetryAfter = time.Second

// Identify returns the filter that looks up the caller's key. It sets
// Call.Snapshot if it is nil, and KeyID and Customer if the key is valid. It
// rejects all calls while there is no configuration, since no key can be checked
// then, and calls with a key outside of the credential headers or with a
// compressed body. Calls with a missing, unknown or withdrawn key pass; Authorize
// decides on them once the route is known.
func Identify(source config.Source) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if c.Snapshot == nil {
				c.Snapshot = source.Current()
			}
			if c.Snapshot.Version == 0 {
				return api.NewError(http.StatusServiceUnavailable, api.CodeConfigStale,
					"this entry has no configuration yet").WithRetryAfter(noConfigRetryAfter)
			}
			if err := rejectMisplacedKey(c); err != nil {
				return err
			}
			keys := Credentials(c.R.Header)
			if len(keys) > 1 {
				return api.NewError(http.StatusBadRequest, api.CodeBadKey,
					"the credential headers hold different keys; send one")
			}
			if len(keys) == 1 {
				if err := identify(c, keys[0]); err != nil {
					return err
				}
			}
			return next(ctx, c)
		}
	}
}

// identify looks key up and, if it is valid, sets KeyID and Customer. A call that
// would forward the key to an endpoint fails: at once, or when its streamed body
// is read up to the key.
func identify(c *pipeline.Call, key string) *api.Error {
	id, k, ok := c.Snapshot.KeyByDigest(Digest(key))
	if !ok || k.Withdrawn {
		return nil
	}
	if forwardedContentContainsKey(c, key) {
		return api.NewError(http.StatusBadRequest, api.CodeKeyInQuery,
			"the key stands in the path, a header or the body that would be passed on; send it in the Authorization header only")
	}
	if c.Body == nil && c.R.Body != nil {
		c.R.Body = &keyScanningBody{ReadCloser: c.R.Body, key: key}
	}
	c.KeyID = id
	c.Customer = k.Customer
	return nil
}

// forwardedContentContainsKey reports whether the key occurs in the URL, the
// body or the headers that would be sent to an endpoint.
func forwardedContentContainsKey(c *pipeline.Call, key string) bool {
	if urlContainsKey(c.R.URL, key) || BodyContainsKey(c.Body, key) {
		return true
	}
	for _, name := range forwardedHeaders {
		for _, v := range c.R.Header[name] {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}

// rejectMisplacedKey returns an error for credentials in the URL or in cookies,
// and for compressed bodies, which can't be searched for a key.
func rejectMisplacedKey(c *pipeline.Call) *api.Error {
	r := c.R
	if e := r.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return api.NewError(http.StatusUnsupportedMediaType, api.CodeBadRequest,
			"compressed request bodies are not accepted")
	}
	found := r.URL.User != nil || keyInQuery(c.Snapshot, r.URL) || keyInPath(c.Snapshot, r.URL.Path)
	for _, cookie := range r.Cookies() {
		found = found || isCredential(c.Snapshot, cookie.Name, cookie.Value)
	}
	if !found {
		return nil
	}
	return api.NewError(http.StatusBadRequest, api.CodeKeyInQuery,
		"keys in the URL or in cookies are refused, as they end up in logs; send the key in the Authorization header, and have this one withdrawn")
}

func keyInQuery(s *config.Snapshot, u *url.URL) bool {
	if u.RawQuery == "" {
		return false
	}
	// Query skips malformed parameters and returns the others.
	for name, values := range u.Query() {
		for _, v := range values {
			if isCredential(s, name, v) {
				return true
			}
		}
	}
	return false
}

func keyInPath(s *config.Snapshot, path string) bool {
	if len(s.State.Keys) == 0 {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if isKnownKey(s, segment) {
			return true
		}
	}
	return false
}

// isCredential reports whether a parameter has the name of a credential, or has
// a known key as its name or value.
func isCredential(s *config.Snapshot, name, value string) bool {
	return credentialNames[strings.ToLower(name)] || isKnownKey(s, name) || isKnownKey(s, value)
}

// minKeyBytes is the minimum length of a string that is looked up as a possible
// key.
const minKeyBytes = 8

func isKnownKey(s *config.Snapshot, text string) bool {
	if len(text) < minKeyBytes {
		return false
	}
	_, _, ok := s.KeyByDigest(Digest(text))
	return ok
}

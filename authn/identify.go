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

// Names of query parameters and cookies that are refused whatever they hold.
var credentialNames = map[string]bool{
	"access_token":  true,
	"api-key":       true,
	"api_key":       true,
	"apikey":        true,
	"authorization": true,
	"x-api-key":     true,
}

// startRetryAfter is when a caller comes back whose entry has no configuration.
const startRetryAfter = time.Second

// Identify returns the filter that finds the caller's key. It sets Snapshot,
// and with a valid key KeyID and Customer. It refuses all calls while there is
// no configuration, since no key can be judged then. It refuses keys outside of the
// credential headers; a missing or unknown key passes, for Authorize to
// judge once the route is known.
func Identify(source config.Source) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if c.Snapshot == nil {
				c.Snapshot = source.Current()
			}
			if c.Snapshot.Version == 0 {
				return api.NewError(http.StatusServiceUnavailable, api.CodeConfigStale,
					"this entry has no configuration yet").WithRetryAfter(startRetryAfter)
			}
			if err := misplaced(c); err != nil {
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

// identify looks key up and fills in whose it is.
func identify(c *pipeline.Call, key string) *api.Error {
	id, k, ok := c.Snapshot.KeyByDigest(Digest(key))
	if !ok || k.Withdrawn {
		return nil
	}
	if keyInContent(c, key) {
		return api.NewError(http.StatusBadRequest, api.CodeKeyInQuery,
			"the key stands in the path, a header or the body that would be passed on; send it in the Authorization header only")
	}
	if c.Body == nil && c.R.Body != nil {
		c.R.Body = &searchedBody{ReadCloser: c.R.Body, key: key}
	}
	c.KeyID = id
	c.Customer = k.Customer
	return nil
}

// keyInContent reports whether the key is in what an endpoint would see.
func keyInContent(c *pipeline.Call, key string) bool {
	if inURL(c.R.URL, key) || BodyContainsKey(c.Body, key) {
		return true
	}
	for _, name := range forwarded {
		for _, v := range c.R.Header[name] {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}

// misplaced refuses credentials in the URL or in cookies.
func misplaced(c *pipeline.Call) *api.Error {
	r := c.R
	if e := r.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return api.NewError(http.StatusUnsupportedMediaType, api.CodeBadRequest,
			"compressed request bodies are not accepted")
	}
	found := r.URL.User != nil || keyInQuery(c.Snapshot, r.URL) || keyInPath(c.Snapshot, r.URL.Path)
	for _, cookie := range r.Cookies() {
		found = found || credential(c.Snapshot, cookie.Name, cookie.Value)
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
	// A query that does not parse still yields the parameters that do.
	for name, values := range u.Query() {
		for _, v := range values {
			if credential(s, name, v) {
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
		if known(s, segment) {
			return true
		}
	}
	return false
}

// credential reports whether a parameter is named like a credential or holds
// a known key, as its name or as its value.
func credential(s *config.Snapshot, name, value string) bool {
	return credentialNames[strings.ToLower(name)] || known(s, name) || known(s, value)
}

// minKeyBytes is the shortest text that is looked up as a possible key.
const minKeyBytes = 8

func known(s *config.Snapshot, text string) bool {
	if len(text) < minKeyBytes {
		return false
	}
	_, _, ok := s.KeyByDigest(Digest(text))
	return ok
}

package authn

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"dandelionrelay/invariant"
)

// CheckNoCredentials asserts that no credential is in r, the request built for an
// endpoint, and returns whether that is so; the request must not be sent if
// not. key is the caller's key, or empty on a call without one.
//
// Names of credential headers must not occur at all; the key itself must not
// occur in the URL, in any header or trailer, nor in the body, plain or in
// JSON escapes. A caller that hides its own key in its body in another form
// (compressed, encrypted) tells it to the endpoint itself; request bodies
// with a Content-Encoding are refused by Identify for that reason.
func CheckNoCredentials(set *invariant.Set, key string, r *http.Request, body []byte) bool {
	where := leak(key, r, body)
	return set.Check(where == "", invariant.NoKeyAtEndpoint, "credential in %s", where)
}

// leak returns where in r a credential is, or "".
func leak(key string, r *http.Request, body []byte) string {
	for _, name := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"} {
		if _, ok := r.Header[name]; ok {
			return "header " + name
		}
	}
	if len(r.Trailer) > 0 {
		return "trailer"
	}
	if r.URL.User != nil {
		return "URL user"
	}
	if key == "" {
		return ""
	}
	if inURL(r.URL, key) {
		return "URL"
	}
	for name, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, key) || strings.Contains(name, http.CanonicalHeaderKey(key)) {
				return "a header"
			}
		}
	}
	if BodyContainsKey(body, key) {
		return "body"
	}
	return ""
}

// inURL reports whether key is in u, percent-encoded or not.
func inURL(u *url.URL, key string) bool {
	if strings.Contains(u.Path, key) || strings.Contains(u.RawQuery, key) {
		return true
	}
	decoded, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(decoded, key)
}

// BodyContainsKey reports whether key is in body, plain or in JSON escapes. Identify
// asks that of every body held whole; who reads a body piece by piece asks it
// of each piece that goes to an endpoint.
func BodyContainsKey(body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	if !bytes.Contains(body, []byte(`\`)) {
		return false
	}
	return bytes.Contains(unescape(body), []byte(key))
}

// unescape replaces JSON escapes of ASCII characters.
func unescape(body []byte) []byte {
	out := make([]byte, 0, len(body))
	for i := 0; i < len(body); i++ {
		if body[i] != '\\' || i+1 == len(body) {
			out = append(out, body[i])
			continue
		}
		if c, ok := unicodeEscape(body[i:]); ok {
			out = append(out, c)
			i += 5
			continue
		}
		i++
		out = append(out, body[i])
	}
	return out
}

// unicodeEscape reads an escape such as \u0041 at the start of b.
func unicodeEscape(b []byte) (byte, bool) {
	if len(b) < 6 || b[1] != 'u' || b[2] != '0' || b[3] != '0' {
		return 0, false
	}
	high, ok1 := hexDigit(b[4])
	low, ok2 := hexDigit(b[5])
	return high<<4 | low, ok1 && ok2 && high < 8
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

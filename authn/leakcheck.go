package authn

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"dandelionrelay/invariant"
)

// CheckNoCredentials asserts the invariant that r, the request to be sent to an
// endpoint, contains no credential, and returns whether it holds; if not, the
// request must not be sent. key is the caller's key, or empty on a call without
// one.
//
// Credential headers must be absent; the key itself must not occur in the URL,
// in any header or trailer, nor in the body, literally or in JSON escapes. A
// key that the caller itself hides in its body in another form (compressed,
// encrypted) is not detected: the caller discloses it. For that reason Identify
// rejects request bodies with a Content-Encoding.
func CheckNoCredentials(set *invariant.Set, key string, r *http.Request, body []byte) bool {
	location := findCredential(key, r, body)
	return set.Check(location == "", invariant.NoKeyAtEndpoint, "credential in %s of a request to an endpoint", location)
}

// findCredential returns the part of r that contains a credential, or "".
func findCredential(key string, r *http.Request, body []byte) string {
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
	if urlContainsKey(r.URL, key) {
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

// urlContainsKey reports whether u contains key, percent-encoded or not.
func urlContainsKey(u *url.URL, key string) bool {
	if strings.Contains(u.Path, key) || strings.Contains(u.RawQuery, key) {
		return true
	}
	decoded, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(decoded, key)
}

// BodyContainsKey reports whether body contains key, literally or in JSON
// escapes. Identify checks every buffered body; code that streams a body must
// check each chunk that is sent to an endpoint.
func BodyContainsKey(body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	if !bytes.Contains(body, []byte(`\`)) {
		return false
	}
	return bytes.Contains(unescapeJSON(body), []byte(key))
}

// unescapeJSON returns body with the \u escapes of ASCII characters decoded. Other
// escapes lose only their backslash.
func unescapeJSON(body []byte) []byte {
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

// unicodeEscape decodes an ASCII escape such as \u0041 at the start of b. It
// returns false if there is none.
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

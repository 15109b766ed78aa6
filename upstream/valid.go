package upstream

import (
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

// Malformed is the NotSent of a request that can't be written as one request, and no other,
// whatever endpoint it is sent to.
var Malformed = NotSent.NewSubtype("malformed")

// tokenPunctuation are the characters other than letters and digits of a token (RFC 9110,
// section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// CheckTarget returns an error unless target is a path that can stand in a request line: it
// begins with a slash and has neither spaces nor control characters.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") {
		return errorx.IllegalArgument.New("the path %.40q does not begin with a slash", target)
	}
	return checkWord(target)
}

// checkWord returns an error if target would end early in a request line.
func checkWord(target string) error {
	if target == "" {
		return errorx.IllegalArgument.New("the path is empty")
	}
	if i := strings.IndexFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }); i >= 0 {
		return errorx.IllegalArgument.New("the path %.40q has a space or a control character at byte %d", target, i)
	}
	return nil
}

// CheckField returns an error unless name and value can stand in one line of a header.
func CheckField(name, value string) error {
	if !isToken(name) {
		return errorx.IllegalArgument.New("the name %.40q of a header field is not a token", name)
	}
	if i := strings.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }); i >= 0 {
		return errorx.IllegalArgument.New("the value of the header field %s has a control character at byte %d", name, i)
	}
	return nil
}

func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool {
		letterOrDigit := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letterOrDigit && !strings.ContainsRune(tokenPunctuation, r)
	}) < 0
}

// check returns an error unless r can be written as one request. Line breaks in values are
// replaced as it is written.
func (r *Request) check() error {
	if !isToken(r.Method) {
		return errorx.IllegalArgument.New("the method %.40q is not a token", r.Method)
	}
	if err := checkWord(r.URI); err != nil { // not always a path: callers may send a whole URL
		return err
	}
	if err := CheckField("Host", r.Host); err != nil {
		return err
	}
	for name := range r.Header {
		if err := CheckField(name, ""); err != nil {
			return err
		}
	}
	return nil
}

// ValidStatus reports whether a response may have the status: it is one of HTTP's (RFC 9110,
// section 15), and the connection stays one of HTTP/1.1.
func ValidStatus(status int) bool {
	return status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
}

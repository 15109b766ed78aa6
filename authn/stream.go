package authn

import "io"

// escapedLen is the length of a JSON escape such as \u0041.
const escapedLen = 6

var errKeyInBody = Errors.NewType("key_in_body").New("the body contains the caller's key; send it in the Authorization header only")

// searchedBody is a request body that is read piece by piece. It fails once
// the caller's key is in it, before that piece is handed on.
type searchedBody struct {
	io.ReadCloser
	key  string
	tail []byte // end of what was read, in which a key may have begun
}

// Read implements io.Reader.
func (b *searchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	seen := append(b.tail, p[:n]...)
	if BodyContainsKey(seen, b.key) {
		clear(p[:n])
		return 0, errKeyInBody
	}
	keep := min(len(seen), escapedLen*len(b.key)-1)
	b.tail = append(b.tail[:0], seen[len(seen)-keep:]...)
	return n, err
}

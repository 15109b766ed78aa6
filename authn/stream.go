package authn

import "io"

// jsonEscapeBytes is the length in bytes of a JSON escape such as \u0041.
const jsonEscapeBytes = 6

var errKeyInBody = Errors.NewType("key_in_body").New("the body contains the caller's key; send it in the Authorization header only")

// keyScanningBody is a streamed request body. Read fails with errKeyInBody once
// the body contains the caller's key, without returning the chunk that
// completes it.
type keyScanningBody struct {
	io.ReadCloser
	key  string
	tail []byte // last bytes read, which may hold the start of a key that spans chunks
}

// Read implements io.Reader.
func (b *keyScanningBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	window := append(b.tail, p[:n]...)
	if BodyContainsKey(window, b.key) {
		clear(p[:n])
		return 0, errKeyInBody
	}
	keep := min(len(window), jsonEscapeBytes*len(b.key)-1)
	b.tail = append(b.tail[:0], window[len(window)-keep:]...)
	return n, err
}

package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dandelionrelay/api"
)

// Sizes of the buffer of a body, in bytes.
const (
	// minBodyBuffer is the size with which the buffer of a body of unknown length begins.
	minBodyBuffer = 4 << 10
	// maxPreallocatedBytes bounds what is allocated for a body before any of it is read, as
	// its announced length may not come.
	maxPreallocatedBytes = 64 << 10
)

// ReadBody reads the whole body of r, whose response is written to w. BodyError says how to
// respond if it fails with a *http.MaxBytesError, as the body is longer than maxBytes, or since
// the request has to give way to others. Its memory counts until the response has ended.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	body := bodyReader{conn: connFrom(r.Context()), body: http.MaxBytesReader(w, r.Body, maxBytes)}
	size := int64(minBodyBuffer)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, maxPreallocatedBytes)
	}
	if err := body.reserve(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		if buffer, err = body.grow(buffer, r.ContentLength); err != nil {
			return nil, err
		}
	}
}

// Reserve counts n more bytes towards the memory of the request with the context ctx, until its
// response has ended. BodyError says how to respond if it fails.
func Reserve(ctx context.Context, n int64) error {
	return bodyReader{conn: connFrom(ctx)}.reserve(n)
}

// Stream returns the body of r, which is not held in memory but for n bytes. Reads fail if the
// request has to give way to others; BodyError says how to respond then.
func Stream(r *http.Request, n int64) (io.ReadCloser, error) {
	if r.ContentLength == 0 {
		return r.Body, nil
	}
	body := bodyReader{conn: connFrom(r.Context()), body: r.Body}
	return body, body.reserve(n)
}

// BodyError returns the response to a request whose body could not be read because of a limit.
// It returns nil if err has another cause.
func BodyError(err error) *api.Error {
	if errors.Is(err, errRefused) {
		return errorOverloaded()
	}
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "the body exceeds the limit of this service")
	}
	return nil
}

// connFrom returns the Conn of a request, or nil if it has none.
func connFrom(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// bodyReader reads the body of a request. The request gives way to others only during Read,
// while its caller is awaited.
type bodyReader struct {
	conn *Conn // nil: nothing is bounded
	body io.ReadCloser
}

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	if b.conn == nil {
		return b.body.Read(p)
	}
	if !b.conn.guard.enter(b.conn, phaseReceiving) {
		return 0, errRefused
	}
	n, err := b.body.Read(p)
	if !b.conn.guard.enter(b.conn, phaseServing) {
		return 0, errRefused
	}
	return n, err
}

// Close implements io.Closer.
func (b bodyReader) Close() error { return b.body.Close() }

// reserve counts n bytes of a buffer.
func (b bodyReader) reserve(n int64) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.guard.reserveBody(b.conn, copies*n, time.Now())
}

// grow returns buffer with more room: twice as much, but not more than length, which is the
// announced length of the body, or -1.
func (b bodyReader) grow(buffer []byte, length int64) ([]byte, error) {
	size := 2 * int64(cap(buffer))
	if length > int64(cap(buffer)) {
		size = min(size, length)
	}
	if err := b.reserve(size - int64(cap(buffer))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// Package upstream sends requests to endpoints over kept HTTP/1.1
// connections. It knows for each failure whether the endpoint can have begun
// the request, and matches answers with requests by their id, since an
// endpoint may send an answer that nobody waits for any more.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("upstream")

var (
	// NotSent says that nothing of the request left for the endpoint.
	NotSent = Errors.NewType("not_sent")
	// Abandoned says that the sender has taken the request back before any of
	// its answer had come; the endpoint may have begun it.
	Abandoned = Errors.NewType("abandoned")
	// Broken says that the exchange failed after some of the request was sent:
	// the endpoint may have run it.
	Broken = Errors.NewType("broken")
)

// Bounds of one exchange.
const (
	// dialTimeout is several round trips within a region.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout ends connections whose data nobody acknowledges.
	unackedTimeout = 700 * time.Millisecond
	// keepAliveInterval is the smallest that the socket option takes.
	keepAliveInterval = time.Second
	// lateReadTimeout is the time to read what lies in the socket after a deadline.
	lateReadTimeout = 20 * time.Millisecond
	// maxInlineBodyBytes fits in a socket's buffers: larger requests are written
	// beside reading, as an endpoint may answer before it has read them.
	maxInlineBodyBytes = 8 << 10
	// maxLateResponses bounds the late answers of other requests that are skipped on
	// one connection.
	maxLateResponses = 3
	// maxLateResponseBytes bounds the body of a late answer that is skipped.
	maxLateResponseBytes = 1 << 20
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	URI    string // path and query as they stand on the request line
	Host   string
	Header http.Header
	Body   []byte
	ID     string // expected in the answer; empty: any answer is taken

	// At AbandonCheck without any of the answer, Abandon is asked whether to take the
	// request back. A zero AbandonCheck means never.
	AbandonCheck  time.Time
	ShouldAbandon func() bool
}

// Exchange is a request whose answer's header has come.
type Exchange struct {
	Response      *http.Response
	conn          *conn
	pool          *Pool
	writeResult   chan error // nil: the request was written before
	detachContext func() bool
}

// Do sends r to the endpoint at addr and waits for the header of its answer
// until deadline. The end of ctx closes the connection, as long as the
// Exchange is open.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, deadline time.Time) (*Exchange, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, NotSent.Wrap(err, "no connection to %s", addr)
	}
	// It fails only on a closed connection, and then writes fail too.
	_ = c.Conn.SetDeadline(deadline)
	x := &Exchange{conn: c, pool: p}
	x.detachContext = context.AfterFunc(ctx, c.close)
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	if x.abandoned(r) {
		x.Close()
		return nil, Abandoned.New("no answer from %s so far", addr)
	}
	x.SetReadDeadline(deadline)
	if err := x.receiveHeader(r); err != nil {
		x.Close()
		return nil, Broken.Wrap(err, "no answer from %s", addr)
	}
	return x, nil
}

// abandoned waits for the first byte of the answer until r.Review and reports
// whether the request is taken back then.
func (x *Exchange) abandoned(r *Request) bool {
	if r.AbandonCheck.IsZero() {
		return false
	}
	x.SetReadDeadline(r.AbandonCheck)
	_, err := x.conn.reader.Peek(1)
	// Other failures show again at the next read.
	return errors.Is(err, os.ErrDeadlineExceeded) && r.ShouldAbandon()
}

// send writes the request, or begins to.
func (x *Exchange) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1024), r)
	if len(r.Body) <= maxInlineBodyBytes {
		n, err := x.conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return NotSent.Wrap(err, "write to %s", x.conn.addr)
		}
		if err != nil {
			return Broken.Wrap(err, "write to %s", x.conn.addr)
		}
		return nil
	}
	x.writeResult = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(x.conn.Conn)
		x.writeResult <- err
	}()
	return nil
}

// appendHead appends the request line and the header.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, lineBreakReplacer.Replace(v)...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// lineBreakReplacer keeps a header's value from ending its line.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// receiveHeader reads headers until one answers r.
func (x *Exchange) receiveHeader(r *Request) error {
	request := &http.Request{Method: r.Method}
	for strays := 0; ; {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		echoed := response.Header.Get(x.pool.idHeader)
		if r.ID == "" || echoed == "" || echoed == r.ID {
			x.Response = response
			return nil
		}
		strays++
		if strays > maxLateResponses || response.Close || response.ContentLength < 0 && !chunked(response) {
			return errorx.IllegalState.New("the answer belongs to request %q", echoed)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateResponseBytes+1))
		if err != nil || n > maxLateResponseBytes {
			return errorx.IllegalState.New("a late answer of request %q could not be skipped", echoed)
		}
	}
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// SetReadDeadline bounds reads of the answer's body.
func (x *Exchange) SetReadDeadline(t time.Time) {
	// It fails only on a closed connection, and then reads fail too.
	_ = x.conn.SetReadDeadline(t)
}

// Close ends the exchange and the connection. The endpoint sees that nobody
// waits.
func (x *Exchange) Close() {
	x.detachContext()
	x.conn.close()
}

// Finish ends an exchange whose answer was read to its end; the connection is
// kept if nothing speaks against it.
func (x *Exchange) Finish() {
	if !x.detachContext() || !x.reusable() {
		x.conn.close()
		return
	}
	x.pool.put(x.conn, keepAliveTimeout(x.Response.Header))
}

// reusable reports whether the connection is clean for another request.
func (x *Exchange) reusable() bool {
	if x.Response == nil || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.writeResult == nil {
		return true
	}
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// ReadAll reads the rest of a short answer and finishes the exchange.
func (x *Exchange) ReadAll(deadline time.Time) ([]byte, error) {
	x.SetReadDeadline(deadline)
	var body bytes.Buffer
	if _, err := body.ReadFrom(x.Response.Body); err != nil {
		x.Close()
		return nil, Broken.Wrap(err, "the answer was cut")
	}
	x.Finish()
	return body.Bytes(), nil
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	addr    string
	reader  *bufio.Reader
	expires time.Time // when it is too old to be used again
}

// Read reads what lies in the socket even if the deadline has passed: the
// process may have been held up rather than the endpoint.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *conn) close() { _ = c.Conn.Close() }

// Package upstream sends requests to endpoints over persistent HTTP/1.1
// connections. Its errors tell whether the endpoint may have started the request.
// It matches responses with requests by ID, since an endpoint may send a late
// response to a request that was abandoned.
package upstream

import (
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
	// NotSent means that no part of the request was sent to the endpoint.
	NotSent = Errors.NewType("not_sent")
	// Refused is the NotSent of a request that Request.BeforeSend refused.
	Refused = NotSent.NewSubtype("refused")
	// Abandoned means that the sender abandoned the request before any part of
	// the response was received; the endpoint may have started it.
	Abandoned = Errors.NewType("abandoned")
	// Broken means that the exchange failed after a part of the request was sent;
	// the endpoint may have run it.
	Broken = Errors.NewType("broken")
)

// Limits of one exchange.
const (
	// dialTimeout allows for several round trips within a region.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: a connection is closed if sent data
	// is not acknowledged for this long.
	unackedTimeout = 700 * time.Millisecond
	// keepAliveInterval is the smallest value that the socket option accepts.
	keepAliveInterval = time.Second
	// lateReadTimeout is the time to read data that is already in the socket
	// buffer after a deadline.
	lateReadTimeout = 20 * time.Millisecond
	// maxInlineBodyBytes fits in the socket buffers. Larger bodies are written
	// concurrently with reading the response, as an endpoint may respond before it
	// has read the body.
	maxInlineBodyBytes = 8 << 10
	// maxLateResponses is the maximum number of late responses to other requests
	// that are skipped in one exchange.
	maxLateResponses = 3
	// maxLateResponseBytes is the maximum size of the body of a late response that
	// is skipped.
	maxLateResponseBytes = 1 << 20
	// maxHeadBytes is the maximum size of the head of a response, informational responses
	// before it included.
	maxHeadBytes = 64 << 10
	// maxResponseBytes is the maximum size of the body of a response that is read whole.
	maxResponseBytes = 8 << 20
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	URI    string // path and query as in the request line
	Host   string
	Header http.Header
	Body   []byte
	ID     string // that the response must name; empty: any response is accepted

	// BeforeSend, if set, is called once the connection is open, right before the request
	// is written. If it returns an error, nothing is sent and the error of Do is Refused.
	BeforeSend func() error

	// If no part of the response was received by AbandonCheck, ShouldAbandon is
	// called to decide whether to abandon the request. A zero AbandonCheck means
	// never.
	AbandonCheck  time.Time
	ShouldAbandon func() bool
}

// Exchange is a request that was sent and its response, of which the header was
// received. The caller must call ReadAll, Finish or Close.
type Exchange struct {
	Response      *http.Response
	conn          *conn
	pool          *Pool
	writeResult   chan error // result of the concurrent write; nil: the request was written inline
	detachContext func() bool
}

// Do sends r to the endpoint at addr, unless r.BeforeSend refuses it, and waits for the
// header of the response until deadline. If ctx is done while the Exchange is open, the
// connection is closed. Errors are of type NotSent, Abandoned or Broken.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, deadline time.Time) (*Exchange, error) {
	if err := r.check(); err != nil {
		return nil, Malformed.Wrap(err, "request to %s", addr)
	}
	c, err := p.get(ctx, addr, r.ID)
	if err != nil {
		return nil, NotSent.Wrap(err, "connect to %s", addr)
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.putBack(c)
			return nil, Refused.Wrap(err, "request to %s", addr)
		}
	}
	// SetDeadline fails only on a closed connection, and then writes fail too.
	_ = c.Conn.SetDeadline(deadline)
	x := &Exchange{conn: c, pool: p}
	x.detachContext = context.AfterFunc(ctx, c.abort)
	p.recordSent(c, r.ID)
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	x.conn.limitReads(maxHeadBytes)
	if x.abandoned(r) {
		x.Close()
		return nil, Abandoned.New("request abandoned: no response from %s yet", addr)
	}
	x.SetReadDeadline(deadline)
	if err := x.receiveHeader(r); err != nil {
		x.Close()
		return nil, Broken.Wrap(err, "read response header from %s", addr)
	}
	return x, nil
}

// abandoned waits for the first byte of the response until r.AbandonCheck. It reports
// whether none was received and r.ShouldAbandon decided to abandon the request.
func (x *Exchange) abandoned(r *Request) bool {
	if r.AbandonCheck.IsZero() {
		return false
	}
	x.SetReadDeadline(r.AbandonCheck)
	_, err := x.conn.reader.Peek(1)
	// Other errors are returned again by the next read.
	return errors.Is(err, os.ErrDeadlineExceeded) && r.ShouldAbandon()
}

// send writes the request, or starts to write it if the body is larger than
// maxInlineBodyBytes.
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
		x.writeResult <- x.conn.writes.do(func() error {
			_, err := buffers.WriteTo(x.conn.Conn)
			return err
		})
	}()
	return nil
}

// appendHead appends the request line and the header of r to b.
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

// lineBreakReplacer prevents header injection through line breaks in a value.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// receiveHeader reads the header of the response to r. It skips informational
// responses and late responses to other requests.
func (x *Exchange) receiveHeader(r *Request) error {
	request := &http.Request{Method: r.Method}
	for late := 0; ; {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if !ValidStatus(response.StatusCode) {
			return errorx.IllegalState.New("response with invalid status %d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		echoed := response.Header.Get(x.pool.idHeader)
		if r.ID != "" && echoed == "" {
			x.reportStray(r, response, StrayUnnamed)
			return errorx.IllegalState.New("response with status %d names no request", response.StatusCode)
		}
		if r.ID == "" || echoed == r.ID {
			x.Response = response
			x.conn.limitReads(maxResponseBytes)
			return nil
		}
		x.reportStray(r, response, StrayOther)
		late++
		if late > maxLateResponses || response.Close || unframed(response) {
			return errorx.IllegalState.New("late response to request %q can't be skipped: more than %d late responses, or it ends with the connection", echoed, maxLateResponses)
		}
		x.conn.limitReads(maxLateResponseBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errorx.IllegalState.New("could not skip late response to request %q: incomplete or longer than %d bytes", echoed, maxLateResponseBytes)
		}
		x.conn.limitReads(maxHeadBytes)
	}
}

// unframed reports whether r has neither a length nor chunks, so that its body ends with
// the connection.
func unframed(r *http.Response) bool {
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	return r.ContentLength < 0 && !chunked
}

// Unframed reports whether the response has neither a length nor chunks. The end of its
// body may then be that of an endpoint that crashed.
func (x *Exchange) Unframed() bool { return unframed(x.Response) }

// SetReadDeadline sets the deadline for reads of the response body.
func (x *Exchange) SetReadDeadline(t time.Time) {
	// SetReadDeadline fails only on a closed connection, and then reads fail too.
	_ = x.conn.SetReadDeadline(t)
}

// Close ends the exchange and closes the connection, so that the endpoint sees that
// the response is no longer awaited.
func (x *Exchange) Close() {
	x.detachContext()
	x.conn.abort()
}

// Finish ends an exchange whose response was read to its end. It returns the
// connection to the pool if it is reusable, and closes it otherwise.
func (x *Exchange) Finish() {
	if !x.detachContext() || !x.reusable() {
		x.conn.close()
		return
	}
	x.pool.put(x.conn, keepAliveTimeout(x.Response.Header))
}

// reusable reports whether the connection can be used for another request.
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

// StreamBody lifts the limit on the size of the response body, which the caller reads from
// Response piece by piece.
func (x *Exchange) StreamBody() { x.conn.limitReads(unlimitedReads) }

// ReadAll reads the rest of the response body until deadline and finishes the
// exchange. It fails with Broken for a body of more than maxResponseBytes.
func (x *Exchange) ReadAll(deadline time.Time) ([]byte, error) {
	x.SetReadDeadline(deadline)
	var body bytes.Buffer
	if _, err := body.ReadFrom(x.Response.Body); err != nil {
		x.Close()
		return nil, Broken.Wrap(err, "read response body")
	}
	x.Finish()
	return body.Bytes(), nil
}

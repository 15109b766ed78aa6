package online

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// truncatingEndpoint is an endpoint on a loopback address that sends the first bytes of a
// response to each request and closes the connection.
type truncatingEndpoint struct {
	listener net.Listener
	response string
	size     int  // bytes of the response that are sent
	reset    bool // the connection is reset, not closed
}

func newTruncatingEndpoint(t *testing.T, response string, size int, reset bool) *truncatingEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &truncatingEndpoint{listener: l, response: response, size: size, reset: reset}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *truncatingEndpoint) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // it may be closed already
	_ = c.SetDeadline(time.Now().Add(timeout))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // a connection that was opened to see whether the endpoint can be reached
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, e.response[:e.size])
	if tcp, ok := c.(*net.TCPConn); ok && e.reset {
		_ = tcp.SetLinger(0)
	}
}

// Bodies of the responses of a truncatingEndpoint.
const (
	plainBody  = "the whole answer of the endpoint"
	eventsBody = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
)

// framed returns a response with body, framed by a length, in chunks or by the end of the
// connection.
func framed(framing, body string) string {
	head := "HTTP/1.1 200 OK\r\n" + streams.HeaderID + ": q\r\n" + streams.HeaderSigned + ": 1\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	case "chunks":
		half := len(body) / 2
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	return head + "\r\n" + body
}

// Guards against a success with an empty or short body that looks whole, as an endpoint stops
// at any byte of the head or body of its response (MIXED, ORDER). A body that is framed by the
// end of its connection, and ended properly, can't be told from a whole one, so that only its
// head is cut.
func TestResponse_TruncatedAtEachByteNeverLooksWhole(t *testing.T) {
	for _, kind := range []struct {
		name       string
		stream     bool
		idempotent bool
		body       string
	}{
		{"plain", false, false, plainBody},
		{"plain, idempotent", false, true, plainBody},
		{"events", true, false, eventsBody},
		{"events, idempotent", true, true, eventsBody},
	} {
		for _, framing := range []string{"length", "chunks", "end"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", kind.name, framing, reset), func(t *testing.T) {
					response := framed(framing, kind.body)
					sizes := len(response)
					if framing == "end" && !reset {
						sizes = strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
					}
					for size := range sizes {
						e := newTruncatingEndpoint(t, response, size, reset)
						expectNotWhole(t, e, kind.stream, kind.idempotent, kind.body)
						_ = e.listener.Close()
					}
				})
			}
		}
	}
}

// expectNotWhole sends one request to e and checks that its caller gets an error that says that
// the request may have run, an aborted response, or all of body.
func expectNotWhole(t *testing.T, e *truncatingEndpoint, stream, idempotent bool, body string) {
	g := gomega.NewWithT(t)
	r := newTestService(t)
	addr := e.listener.Addr().String()
	r.Pool = upstream.NewPool(streams.HeaderID, func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}, func() {})
	r.Table.SetEndpoints([]placement.Endpoint{{ID: "w", Address: addr, Deployment: "lm", DataCentre: "a", Slots: 8}})
	call, w := newCall("q", stream && idempotent)
	call.Route.Provided.Stream = stream
	call.Route.Idempotent = !stream && idempotent
	err := r.Handle(t.Context(), call)
	if err == nil {
		g.Expect(w.body.String()).To(gomega.Equal(body), "after %d bytes: %q", e.size, e.response[:e.size])
		return
	}
	g.Expect(err.Outcome).To(gomega.Equal(api.Unknown), "after %d bytes", e.size)
	g.Expect(body).To(gomega.HavePrefix(w.body.String()))
	g.Expect(call.ResponseStarted).To(gomega.Equal(w.status != 0), "after %d bytes: the caller can tell", e.size)
}

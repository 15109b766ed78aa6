package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
)

const idHeader = "X-Request"

// endpoint is a test server; see listen.
type endpoint struct {
	net.Listener
	accepted chan struct{}
}

// listen starts an endpoint that calls handle for each request that it reads from a
// connection. n is the number of requests read from that connection before. The endpoint
// closes the connection when handle returns false.
func listen(t *testing.T, handle func(c net.Conn, r *http.Request, n int) bool) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{Listener: l, accepted: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted <- struct{}{}
			go serve(c, handle)
		}
	}()
	return e
}

func serve(c net.Conn, handle func(c net.Conn, r *http.Request, n int) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !handle(c, r, n) {
			return
		}
	}
}

// respond writes a complete response to the request with the given ID.
func respond(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a/b?c=%20d", Host: "host", Header: http.Header{idHeader: {id}}, Body: []byte("body"), ID: id}
}

const exchangeTimeout = 5 * time.Second

// exchange makes one exchange and returns the body of the response.
func exchange(p *Pool, addr, id string) (string, error) {
	x, err := p.Do(context.Background(), addr, request(id), time.Now().Add(exchangeTimeout))
	if err != nil {
		return "", err
	}
	body, err := x.ReadAll(time.Now().Add(exchangeTimeout))
	return string(body), err
}

func newPool(dials *int) *Pool { return NewPool(idHeader, nil, func() { *dials++ }) }

// A connection is reused although the deadline of its last read has passed.
func TestPool_ReusesConnectionAfterReadDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		respond(c, r.Header.Get(idHeader), "yes")
		return true
	})
	dials := 0
	p := newPool(&dials)
	for i := range 3 {
		x, err := p.Do(context.Background(), e.Addr().String(), request(fmt.Sprint(i)), time.Now().Add(exchangeTimeout))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(x.Response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		x.SetReadDeadline(time.Unix(1, 0))
		x.Finish()
	}
	g.Expect(dials).To(gomega.Equal(1))
}

// The sender decides against a request once the connection is open: nothing of it may reach the
// endpoint, the error says so, and the connection serves the next request.
func TestExchange_RefusedBeforeSending(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		got = append(got, r.Header.Get(idHeader))
		respond(c, r.Header.Get(idHeader), "yes")
		return true
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"first", "second"} {
		opened := 0
		r := request(id)
		r.BeforeSend = func() error {
			opened = dials
			return errors.New("too late")
		}
		_, err := p.Do(context.Background(), e.Addr().String(), r, time.Now().Add(exchangeTimeout))
		g.Expect(errorx.IsOfType(err, Refused)).To(gomega.BeTrue())
		g.Expect(errorx.IsOfType(err, NotSent)).To(gomega.BeTrue())
		g.Expect(opened).To(gomega.Equal(1), "asked once the connection is open")
		g.Expect(exchange(p, e.Addr().String(), "sent after "+id)).To(gomega.Equal("yes"))
	}
	g.Expect(got).To(gomega.Equal([]string{"sent after first", "sent after second"}))
	g.Expect(dials).To(gomega.Equal(1))
}

// A late response to another request, received before the expected one, is skipped.
func TestExchange_SkipsLateResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		respond(c, "somebody-else", "not for you")
		respond(c, r.Header.Get(idHeader), "for "+r.Header.Get(idHeader))
		return true
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		body, err := exchange(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("for " + id))
	}
}

// Bytes after a response belong to no request, so the connection must not be reused.
func TestPool_ClosesConnectionWithExtraBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		body := "yes"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
			idHeader, r.Header.Get(idHeader), len(body), body)
		return true
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		body, err := exchange(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("yes"))
	}
	g.Expect(dials).To(gomega.Equal(2))
}

// If the endpoint has closed an idle connection, the request is sent over a new one.
func TestPool_ReplacesClosedIdleConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{}, 2)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		respond(c, r.Header.Get(idHeader), "yes")
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		_, err := exchange(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		<-closed
	}
	g.Expect(dials).To(gomega.Equal(2))
}

func TestDo_ErrorTypeTellsIfRequestMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	dials := 0
	p := newPool(&dials)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Close()).To(gomega.Succeed())
	_, err = exchange(p, l.Addr().String(), "a")
	g.Expect(errorx.IsOfType(err, NotSent)).To(gomega.BeTrue(), "%v", err)

	for name, handle := range map[string]func(net.Conn, *http.Request, int) bool{
		"closed":             func(net.Conn, *http.Request, int) bool { return false },
		"malformed response": func(c net.Conn, _ *http.Request, _ int) bool { _, _ = c.Write([]byte("garbage\r\n\r\n")); return false },
		"truncated body": func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nxx", idHeader, r.Header.Get(idHeader))
			return false
		},
	} {
		_, err = exchange(p, listen(t, handle).Addr().String(), "a")
		g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue(), "%s: %v", name, err)
	}
}

// The request reaches the endpoint unchanged, and line breaks in a header value do not
// inject another header.
func TestDo_SendsRequestUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	got := make(chan *http.Request, 1)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		got <- r
		respond(c, r.Header.Get(idHeader), "yes")
		return true
	})
	dials := 0
	p := newPool(&dials)
	r := request("a")
	r.Header.Set("X-Evil", "one\r\nX-Smuggled: two")
	x, err := p.Do(context.Background(), e.Addr().String(), r, time.Now().Add(exchangeTimeout))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x.Close()
	sent := <-got
	g.Expect(sent.RequestURI).To(gomega.Equal(r.URI))
	g.Expect(sent.Host).To(gomega.Equal(r.Host))
	g.Expect(sent.ContentLength).To(gomega.BeEquivalentTo(len(r.Body)))
	g.Expect(sent.Header.Get("X-Smuggled")).To(gomega.BeEmpty())
}

// An endpoint may respond before it has read a large body. The connection must not be
// reused while the body is still being written.
func TestExchange_EarlyResponseToLargeBody(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(c, r.Header.Get(idHeader), "early")
		}
	}()
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		r := request(id)
		r.Body = []byte(strings.Repeat("x", 64<<20))
		x, err := p.Do(context.Background(), l.Addr().String(), r, time.Now().Add(exchangeTimeout))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := x.ReadAll(time.Now().Add(exchangeTimeout))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("early"))
	}
	g.Expect(dials).To(gomega.Equal(2))
}

// Cancelling the context, as when a caller disconnects, ends the exchange.
func TestDo_ClosesConnectionOnContextCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	received, readErr := make(chan struct{}), make(chan error, 1)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		close(received)
		_, err := c.Read(make([]byte, 1))
		readErr <- err
		return false
	})
	dials := 0
	p := newPool(&dials)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	_, err := p.Do(ctx, e.Addr().String(), request("a"), time.Now().Add(time.Minute))
	g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue())
	g.Expect(<-readErr).To(gomega.MatchError(syscall.ECONNRESET))
}

func TestKeepAliveTimeout_ReadsHeader(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(keepAliveTimeout(http.Header{})).To(gomega.Equal(defaultIdleTimeout - idleMargin))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=3, max=5"}})).To(gomega.Equal(3*time.Second - idleMargin))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=x"}})).To(gomega.BeZero())
}

// An endpoint writes its refusal of an attempt once more when the attempt is sent again over
// the same connection. The repeated refusal isn't taken for the response to the second sending.
func TestPool_AttemptSentAgainAfterRepeatedRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			respond(c, "a", "refused")
		}
		respond(c, r.Header.Get(idHeader), map[int]string{0: "refused", 1: "run"}[n])
		return true
	})
	dials := 0
	p := newPool(&dials)
	body, err := exchange(p, e.Addr().String(), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("refused"))
	body, err = exchange(p, e.Addr().String(), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("refused"), "of a connection of its own")
	g.Expect(dials).To(gomega.Equal(2))
	body, err = exchange(p, e.Addr().String(), "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("run"), "other attempts use the connections")
	g.Expect(dials).To(gomega.Equal(2))
}

// A response that names no request may be that to an earlier one: it is of no use, and the
// request may have run.
func TestExchange_ResponseWithoutID(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	dials := 0
	_, err := exchange(newPool(&dials), e.Addr().String(), "a")
	g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue(), "%v", err)
}

// An endpoint takes the end of a caller's stream for a half-close, which TCP allows, and works
// on. When an exchange is closed early, it must see that nobody awaits the response.
func TestExchange_CloseEndsRunOfHalfCloseEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	started, ended := make(chan struct{}), make(chan error, 1)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, r.Header.Get(idHeader))
		close(started)
		ended <- awaitReset(c)
		return false
	})
	dials := 0
	x, err := newPool(&dials).Do(context.Background(), e.Addr().String(), request("a"), time.Now().Add(exchangeTimeout))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-started
	x.Close()
	g.Expect(<-ended).To(gomega.MatchError(syscall.ECONNRESET))
}

// awaitReset reads from c until an error other than the end of the stream. It returns io.EOF if
// there is none for a second.
func awaitReset(c net.Conn) error {
	for range 1000 {
		_, err := c.Read(make([]byte, 1))
		if err != nil && err != io.EOF {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return io.EOF
}

package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
)

// pipeListener is a net.Listener for connections in memory.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// testServer serves handler on a machine in which there is room for requests of about 400 KB.
func testServer(t *testing.T, handler http.HandlerFunc) pipeListener {
	l := pipeListener{make(chan net.Conn)}
	p := NewProcess(Machine{MemoryBytes: 2 << 20, Descriptors: 1000}, zerolog.Nop(), prometheus.NewRegistry())
	s := &http.Server{Handler: handler}
	Attach(s)
	go func() { _ = s.Serve(p.Callers(l, api.WriteError, AnyHead)) }()
	t.Cleanup(func() {
		_ = s.Close()
		time.Sleep(time.Second) // net/http waits before it closes a connection with unread bytes
	})
	return l
}

// head returns a head of about n bytes that lacks its last line.
func head(n int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", n/6)
}

func response(g *gomega.WithT, c io.Reader) *http.Response {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, r.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// Guards against refusals of a head that are not sent, or that do not say when to come back,
// and against further bytes behind them.
func TestConn_RefusesHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		served := 0
		l := testServer(t, func(http.ResponseWriter, *http.Request) { served++ })

		oversized := l.dial()
		go func() { _, _ = io.WriteString(oversized, head(100<<10)) }()
		r := response(g, oversized)
		g.Expect(r.StatusCode).To(gomega.BeElementOf(http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable))

		slow := l.dial()
		go func() { _, _ = io.WriteString(slow, head(6<<10)) }()
		synctest.Wait()
		for range 2 {
			go func() { _, _ = io.WriteString(l.dial(), head(4<<10)) }()
			synctest.Wait()
		}
		rest := bufio.NewReader(slow)
		r, err := http.ReadResponse(rest, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get("Retry-After")).To(gomega.Equal("1"))
		_, err = io.Copy(io.Discard, r.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		beyond, _ := io.ReadAll(rest)
		g.Expect(beyond).To(gomega.BeEmpty())

		ordinary := l.dial()
		go func() { _, _ = io.WriteString(ordinary, head(0)+"\r\n") }()
		g.Expect(response(g, ordinary).StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(served).To(gomega.Equal(1))
	})
}

// Guards against a second response on a connection whose request was refused just as its last
// byte came, so that net/http takes it for idle.
func TestConn_RefusedOnceAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := net.Pipe()
	p := NewProcess(Machine{MemoryBytes: 2 << 20, Descriptors: 1000}, zerolog.Nop(), prometheus.NewRegistry())
	conns := pipeListener{make(chan net.Conn, 1)}
	conns.conns <- server
	accepted, err := p.Callers(conns, api.WriteError, AnyHead).Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := accepted.(*Conn)
	s := &http.Server{Handler: http.NotFoundHandler()}
	Attach(s)

	c.inHead.Store(false) // a handler serves the request
	c.guard.mu.Lock()
	c.guard.refuse(c, ReasonMemory, time.Now())
	c.guard.mu.Unlock()
	s.ConnState(c, http.StateIdle)
	received := make(chan string)
	go func() {
		b, _ := io.ReadAll(client)
		received <- string(b)
	}()
	go func() { _, _ = io.WriteString(client, "G") }()
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(errRefused))
	g.Expect(c.Close()).To(gomega.Succeed())
	g.Expect(<-received).To(gomega.BeEmpty())
}

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
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
)

const idHeader = "X-Request"

// endpoint answers each request read on a connection with what script writes;
// it ends when script returns false.
type endpoint struct {
	net.Listener
	accepted chan struct{}
}

func listen(t *testing.T, script func(c net.Conn, r *http.Request, n int) bool) *endpoint {
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
			go serve(c, script)
		}
	}()
	return e
}

func serve(c net.Conn, script func(c net.Conn, r *http.Request, n int) bool) {
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
		if !script(c, r, n) {
			return
		}
	}
}

// answer writes a whole answer to the request id.
func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a/b?c=%20d", Host: "host", Header: http.Header{idHeader: {id}}, Body: []byte("body"), ID: id}
}

const patience = 5 * time.Second

// ask makes one exchange and returns the body of the answer.
func ask(p *Pool, addr, id string) (string, error) {
	x, err := p.Do(context.Background(), addr, request(id), time.Now().Add(patience))
	if err != nil {
		return "", err
	}
	body, err := x.ReadAll(time.Now().Add(patience))
	return string(body), err
}

func newPool(dials *int) *Pool { return NewPool(idHeader, nil, func() { *dials++ }) }

// A connection is kept although the deadline of its last read has passed.
func TestAConnectionIsKeptAfterItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		answer(c, r.Header.Get(idHeader), "yes")
		return true
	})
	dials := 0
	p := newPool(&dials)
	for i := range 3 {
		x, err := p.Do(context.Background(), e.Addr().String(), request(fmt.Sprint(i)), time.Now().Add(patience))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(x.Response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		x.SetReadDeadline(time.Unix(1, 0))
		x.Finish()
	}
	g.Expect(dials).To(gomega.Equal(1))
}

// An answer that comes late, where the next one is expected, is skipped.
func TestALateAnswerIsNotTakenForAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		answer(c, "somebody-else", "not for you")
		answer(c, r.Header.Get(idHeader), "for "+r.Header.Get(idHeader))
		return true
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		body, err := ask(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("for " + id))
	}
}

// Bytes after an answer belong to no request: the connection is not used again.
func TestAConnectionWithExtraBytesIsNotKept(t *testing.T) {
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
		body, err := ask(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("yes"))
	}
	g.Expect(dials).To(gomega.Equal(2))
}

// An endpoint that has closed an idle connection is asked over a new one.
func TestAClosedIdleConnectionIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{}, 2)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		answer(c, r.Header.Get(idHeader), "yes")
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		_, err := ask(p, e.Addr().String(), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		<-closed
	}
	g.Expect(dials).To(gomega.Equal(2))
}

func TestFailuresSayWhetherTheRequestMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	dials := 0
	p := newPool(&dials)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Close()).To(gomega.Succeed())
	_, err = ask(p, l.Addr().String(), "a")
	g.Expect(errorx.IsOfType(err, NotSent)).To(gomega.BeTrue(), "%v", err)

	for name, script := range map[string]func(net.Conn, *http.Request, int) bool{
		"closed":    func(net.Conn, *http.Request, int) bool { return false },
		"no answer": func(c net.Conn, _ *http.Request, _ int) bool { _, _ = c.Write([]byte("garbage\r\n\r\n")); return false },
		"cut": func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nxx", idHeader, r.Header.Get(idHeader))
			return false
		},
	} {
		_, err = ask(p, listen(t, script).Addr().String(), "a")
		g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue(), "%s: %v", name, err)
	}
}

// The request reaches the endpoint as it is, and a header can't end its line.
func TestTheRequestIsSentAsItIs(t *testing.T) {
	g := gomega.NewWithT(t)
	got := make(chan *http.Request, 1)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		got <- r
		answer(c, r.Header.Get(idHeader), "yes")
		return true
	})
	dials := 0
	p := newPool(&dials)
	r := request("a")
	r.Header.Set("X-Evil", "one\r\nX-Smuggled: two")
	x, err := p.Do(context.Background(), e.Addr().String(), r, time.Now().Add(patience))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x.Close()
	seen := <-got
	g.Expect(seen.RequestURI).To(gomega.Equal(r.URI))
	g.Expect(seen.Host).To(gomega.Equal(r.Host))
	g.Expect(seen.ContentLength).To(gomega.BeEquivalentTo(len(r.Body)))
	g.Expect(seen.Header.Get("X-Smuggled")).To(gomega.BeEmpty())
}

// An endpoint may answer before it has read a long body; the connection is
// not used again while the body is under way.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
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
			answer(c, r.Header.Get(idHeader), "early")
		}
	}()
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b"} {
		r := request(id)
		r.Body = []byte(strings.Repeat("x", 64<<20))
		x, err := p.Do(context.Background(), l.Addr().String(), r, time.Now().Add(patience))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := x.ReadAll(time.Now().Add(patience))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("early"))
	}
	g.Expect(dials).To(gomega.Equal(2))
}

// A caller that leaves ends the exchange.
func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	asked, left := make(chan struct{}), make(chan error, 1)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		close(asked)
		_, err := c.Read(make([]byte, 1))
		left <- err
		return false
	})
	dials := 0
	p := newPool(&dials)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-asked; cancel() }()
	_, err := p.Do(ctx, e.Addr().String(), request("a"), time.Now().Add(time.Minute))
	g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue())
	g.Expect(errors.Is(<-left, io.EOF)).To(gomega.BeTrue())
}

func TestIdleTimesAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(keepAliveTimeout(http.Header{})).To(gomega.Equal(defaultIdleTimeout - idleMargin))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=3, max=5"}})).To(gomega.Equal(3*time.Second - idleMargin))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=x"}})).To(gomega.BeZero())
}

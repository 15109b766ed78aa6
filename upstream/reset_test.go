package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/network"
)

// resetRuns is the number of exchanges of each case: which of two system calls learns of a
// reset is up to the kernel.
const resetRuns = 12

// listenSmall listens with small receive buffers, so that a large request stays in the sender's
// until it is read.
func listenSmall(t *testing.T) net.Listener {
	l, err := network.ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// endUnframed serves connections of l: it reads the head of a request, and its body too if
// readBody is set, responds with neither a length nor chunks, and after a pause ends the
// connection, with a reset if reset is set.
func endUnframed(l net.Listener, readBody, reset bool, pause time.Duration) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			_ = c.Close()
			continue
		}
		if readBody {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", idHeader, r.Header.Get(idHeader))
		time.Sleep(pause)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// Guards against a part of a response that passes for the whole (MIXED): an endpoint responds
// with neither a length nor chunks, and resets the connection while the request is still being
// written. The write learns of the reset, and the next read finds an orderly end.
func TestExchange_ResetWhileWritingIsNoEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := listenSmall(t)
			go endUnframed(l, false, true, pause)
			dials := 0
			p := newPool(&dials)
			for n := range resetRuns {
				r := request(fmt.Sprint(n))
				r.Body = make([]byte, 4<<20)
				x, err := p.Do(context.Background(), l.Addr().String(), r, time.Now().Add(exchangeTimeout))
				if err != nil {
					continue
				}
				_, err = x.ReadAll(time.Now().Add(exchangeTimeout))
				g.Expect(err).To(gomega.HaveOccurred(), "run %d", n)
				g.Expect(ClosedByEndpoint(err)).To(gomega.BeTrue(), "run %d", n)
			}
		})
	}
}

// Guards against whole responses that pass for broken off: the endpoint has read the request.
func TestExchange_UnframedResponseToLargeRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	l := listenSmall(t)
	go endUnframed(l, true, false, 0)
	dials := 0
	p := newPool(&dials)
	for n := range resetRuns {
		r := request(fmt.Sprint(n))
		r.Body = make([]byte, 4<<20)
		x, err := p.Do(context.Background(), l.Addr().String(), r, time.Now().Add(exchangeTimeout))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := x.ReadAll(time.Now().Add(exchangeTimeout))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("part"))
	}
}

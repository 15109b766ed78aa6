package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
)

// endlessTimeout is the deadline of an exchange with an endpoint that sends without end.
// The exchange must end long before, as its memory would grow until then.
const endlessTimeout = 20 * time.Second

// acceptedBytes bounds what an endpoint that sends bytes without end may get rid of: what
// is read, and what the buffers of the kernel hold.
const acceptedBytes = maxResponseBytes + 16<<20

// sendEndlessly writes first and then next until the connection is closed. It returns the
// number of bytes written.
func sendEndlessly(c net.Conn, first, next string) int {
	n, err := c.Write([]byte(first))
	chunk := []byte(strings.Repeat(next, 1+1<<16/len(next)))
	for err == nil {
		var written int
		written, err = c.Write(chunk)
		n += written
	}
	return n
}

// Endpoints send bytes that are no response without end, in the head or in the body. The
// exchange fails as one that the endpoint may have run, and the connection is closed.
func TestExchange_EndsEndlessResponses(t *testing.T) {
	for name, send := range map[string]struct{ first, next string }{
		"no line end":                   {"", "x"},
		"no response line":              {"", "garbage\r\n"},
		"header value without end":      {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"header fields without end":     {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"informational without end":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"late responses without end":    {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 1\r\n\r\nx"},
		"body without length or end":    {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n", "x"},
		"chunks without end":            {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size without end":        {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer without end":           {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x"},
		"length that is never reached":  {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"late response of a great size": {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var sent atomic.Int64
			ended := make(chan struct{})
			e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
				sent.Store(int64(sendEndlessly(c, send.first, send.next)))
				close(ended)
				return false
			})
			dials := 0
			p := newPool(&dials)
			began := time.Now()
			_, err := exchangeWithin(p, e.Addr().String(), "a", endlessTimeout)
			g.Expect(errorx.IsOfType(err, Broken)).To(gomega.BeTrue(), "%v", err)
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", endlessTimeout/2))
			g.Eventually(ended).WithTimeout(endlessTimeout).Should(gomega.BeClosed())
			g.Expect(sent.Load()).To(gomega.BeNumerically("<", acceptedBytes))
		})
	}
}

// exchangeWithin makes one exchange with a request of the given ID and returns the body of
// the response.
func exchangeWithin(p *Pool, addr, id string, timeout time.Duration) (string, error) {
	deadline := time.Now().Add(timeout)
	x, err := p.Do(context.Background(), addr, request(id), deadline)
	if err != nil {
		return "", err
	}
	body, err := x.ReadAll(deadline)
	return string(body), err
}

// A long head, within the limit, is read.
func TestExchange_ReadsLongHead(t *testing.T) {
	g := gomega.NewWithT(t)
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"))
		_, _ = c.Write([]byte(idHeader + ": " + r.Header.Get(idHeader) + "\r\nContent-Length: 3\r\n\r\nyes"))
		return true
	})
	dials := 0
	p := newPool(&dials)
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(exchangeWithin(p, e.Addr().String(), id, exchangeTimeout)).To(gomega.Equal("yes"))
	}
	g.Expect(dials).To(gomega.Equal(1))
}

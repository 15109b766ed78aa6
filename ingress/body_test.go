package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
)

// serveBody responds with the number of bytes of the body, of which it accepts 300 KB, once
// serve returns.
func serveBody(w http.ResponseWriter, r *http.Request, serve func()) {
	body, err := ReadBody(w, r, 300<<10)
	switch refusal := BodyError(err); {
	case refusal != nil:
		api.WriteError(w, refusal)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		serve()
		_, _ = fmt.Fprint(w, len(body))
	}
}

// post returns a request that announces a body of announced bytes and has sent bytes.
func post(announced, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
}

// send sends text on a new connection to l, once the requests before have ended.
func send(l pipeListener, text string) io.ReadWriter {
	synctest.Wait()
	c := l.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	synctest.Wait()
	return c
}

// Guards against bodies that do not end and hold the memory that others need, against refusals
// that do not reach their callers, and against limits on bodies that are lost on the way.
func TestReadBody_UnfinishedBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := testServer(t, func(w http.ResponseWriter, r *http.Request) { serveBody(w, r, func() {}) })
		chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		for name, c := range map[string]struct {
			request string
			status  int
		}{
			"whole":     {post(100<<10, 100<<10), http.StatusOK},
			"in chunks": {chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 100<<10, strings.Repeat("x", 100<<10)), http.StatusOK},
			"too large": {post(400<<10, 0), http.StatusRequestEntityTooLarge},
			"no body":   {post(0, 0), http.StatusOK},
		} {
			g.Expect(response(g, send(l, c.request)).StatusCode).To(gomega.Equal(c.status), name)
		}

		stalled := send(l, post(150<<10, 150<<10-1))
		ordinary := send(l, post(150<<10, 150<<10))
		g.Expect(response(g, ordinary).StatusCode).To(gomega.Equal(http.StatusOK))
		r := response(g, stalled)
		g.Expect(r.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get("Retry-After")).To(gomega.Equal("1"))
		g.Expect(r.Close).To(gomega.BeTrue())
	})
}

// Guards against requests that are refused although they are served, or cut for others.
func TestReadBody_ServedRequestsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		end := make(chan struct{})
		l := testServer(t, func(w http.ResponseWriter, r *http.Request) { serveBody(w, r, func() { <-end }) })
		served := send(l, post(150<<10, 150<<10))
		r := response(g, send(l, post(150<<10, 150<<10)))
		g.Expect(r.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		close(end)
		g.Expect(response(g, served).StatusCode).To(gomega.Equal(http.StatusOK))
	})
}

package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/network"
)

// resetRuns is the number of requests: which of two system calls learns of a reset is up to
// the kernel.
const resetRuns = 12

// newSidecarBeside returns a server of a sidecar beside the endpoint that listens on l.
func newSidecarBeside(t *testing.T, l net.Listener) *httptest.Server {
	holder := new(config.Holder)
	holder.Set(config.NewSnapshot(1, &config.State{Deployments: map[string]config.Deployment{
		deployment: {Kind: config.KindPlain, Slots: 16},
	}}))
	s, err := sidecar.New(sidecar.Settings{ID: "s1", Deployment: deployment, EndpointURL: "http://" + l.Addr().String()}, sidecar.Deps{Config: holder})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server
}

// post sends a request with a body of size bytes and returns the status and the body of the
// response. err is that of the response, or of its body.
func post(server *httptest.Server, id string, size int) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, server.URL+"/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(api.HeaderAttemptID, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close() //nolint:errcheck // read to its end, or failed
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// endpointListener listens with small receive buffers, so that a large request stays in the
// sender's until it is read.
func endpointListener(t *testing.T) net.Listener {
	l, err := network.ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serveRaw reads the head of one request on each connection of l, and calls respond.
func serveRaw(l net.Listener, respond func(c *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
			respond(c.(*net.TCPConn))
		}
		_ = c.Close()
	}
}

// Guards against a part of a response that passes for the whole (MIXED): the endpoint responds
// with neither a length nor chunks, and resets the connection while the request is still being
// written.
func TestSidecar_ResetWhileWritingIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	l := endpointListener(t)
	go serveRaw(l, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(60 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	server := newSidecarBeside(t, l)
	for n := range resetRuns {
		status, _, err := post(server, fmt.Sprint("reset-", n), 4<<20)
		if err == nil {
			g.Expect(status).To(gomega.Equal(http.StatusBadGateway), "run %d", n)
		}
	}
}

// Guards against statuses that HTTP does not have and that pass for a response, or crash the
// handler.
func TestSidecar_InvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := endpointListener(t)
			go serveRaw(l, func(c *net.TCPConn) { _, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nno", status) })
			got, body, err := post(newSidecarBeside(t, l), "odd", 1)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(http.StatusBadGateway))
			g.Expect(body).To(gomega.ContainSubstring(`"outcome":"unknown"`))
		})
	}
}

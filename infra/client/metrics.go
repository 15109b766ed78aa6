package client

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// InstrumentTransport returns a transport that sends requests with next, or with
// a new transport if next is nil, and counts the bytes of the calls to the
// platform by call and kind of stream in metrics registered with reg. The start
// line, headers and body of a message are counted; the overhead of chunked
// encoding, TLS, TCP and IP is not.
func InstrumentTransport(next http.RoundTripper, reg prometheus.Registerer) http.RoundTripper {
	if next == nil {
		next = newTransport()
	}
	labels := []string{"call", "stream"}
	t := &countingTransport{
		next: next,
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_platform_sent_bytes_total",
			Help: "Bytes of requests sent to the platform, by call and kind of stream.",
		}, labels),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_platform_received_bytes_total",
			Help: "Bytes of answers received from the platform, by call and kind of stream.",
		}, labels),
	}
	reg.MustRegister(t.sent, t.received)
	return t
}

// countingTransport is the transport that InstrumentTransport returns.
type countingTransport struct {
	next     http.RoundTripper
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	call, stream := callOf(r), streamOf(r)
	t.sent.WithLabelValues(call, stream).Add(float64(requestBytes(r)))
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	received := t.received.WithLabelValues(call, stream)
	received.Add(float64(len("HTTP/1.1 \r\n") + len(resp.Status) + headerBytes(resp.Header)))
	resp.Body = &countingBody{resp.Body, received}
	return resp, nil
}

// libraryHeaders are the headers that net/http adds to each request.
const libraryHeaders = "User-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n"

// requestBytes returns the size of a request whose length is known.
func requestBytes(r *http.Request) int {
	n := len(r.Method) + len(r.URL.RequestURI()) + len("  HTTP/1.1\r\n")
	n += len("Host: \r\n") + len(r.URL.Host) + len(libraryHeaders) + headerBytes(r.Header)
	if r.Method == http.MethodPost {
		n += len("Content-Length: \r\n") + len(strconv.FormatInt(r.ContentLength, 10))
	}
	return n + int(r.ContentLength)
}

// headerBytes returns the size of headers, including the blank line after them.
func headerBytes(h http.Header) int {
	n := len("\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// callOf returns the value of the label "call" for a request.
func callOf(r *http.Request) string {
	if r.Method == http.MethodPost {
		return "append"
	}
	switch r.URL.Path {
	case PathRecords:
		return "read"
	case PathBounds:
		return "bounds"
	case PathInstances:
		return "list"
	}
	return "weights"
}

// streamOf returns the kind of the stream that a request names: the name of the
// stream up to the slash before its partition number.
func streamOf(r *http.Request) string {
	kind, _, _ := strings.Cut(r.URL.Query().Get("stream"), "/")
	return kind
}

// countingBody counts the bytes read of a response body.
type countingBody struct {
	io.ReadCloser
	bytes prometheus.Counter
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(float64(n))
	return n, err
}

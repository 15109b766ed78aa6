package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
	"dandelionrelay/platform"
)

// Limits of the connections to sidecars.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnsPerSidecar = 64
	idleConnTimeout     = 30 * time.Second
)

// forwardedHeaders are the only headers of the caller that reach an endpoint.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "Tracestate",
}

func dialSidecar(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, addr)
}

// attempt is one try of a call at one endpoint.
type attempt struct {
	id       string
	endpoint platform.Instance
	sent     atomic.Bool // a connection was handed to the request
}

// request builds the message to the sidecar. The body has no GetBody, so that
// the transport never repeats it by itself.
func (a *attempt) request(ctx context.Context, c *pipeline.Call) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) },
	}
	r := &http.Request{
		Method:        c.R.Method,
		URL:           a.url(c.R.URL),
		Header:        a.header(c),
		Body:          io.NopCloser(bytes.NewReader(c.Body)),
		ContentLength: int64(len(c.Body)),
		Host:          a.endpoint.HTTPAddr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return r.WithContext(httptrace.WithClientTrace(ctx, trace))
}

func (a *attempt) url(u *url.URL) *url.URL {
	return &url.URL{
		Scheme:   "http",
		Host:     a.endpoint.HTTPAddr,
		Path:     u.Path,
		RawPath:  u.RawPath,
		RawQuery: u.RawQuery,
	}
}

func (a *attempt) header(c *pipeline.Call) http.Header {
	h := make(http.Header, len(forwardedHeaders)+8)
	for _, name := range forwardedHeaders {
		if v := c.R.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	left := max(1, time.Until(c.Deadline).Milliseconds())
	h.Set(api.HeaderRequestID, c.ID)
	h.Set(api.HeaderAttemptID, a.id)
	h.Set(api.HeaderCustomer, c.Customer)
	h.Set(api.HeaderDeployment, c.Route.Deployment)
	h.Set(api.HeaderDeadline, strconv.FormatInt(left, 10))
	if c.Route.Idempotent {
		h.Set(api.HeaderIdempotent, "1")
	}
	return h
}

// failure is the error of an attempt that got no answer.
func (a *attempt) failure(ctx context.Context) *api.Error {
	outcome := api.NotRun
	if a.sent.Load() {
		outcome = api.Unknown
	}
	if ctx.Err() != nil {
		return deadline(outcome)
	}
	return lost(outcome)
}

func deadline(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "no answer before the deadline")
	return e.WithOutcome(o).WithRetryAfter(RetryAfter)
}

func lost(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	return e.WithOutcome(o).WithRetryAfter(RetryAfter)
}

package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/infra"
	"dandelionrelay/pipeline"
)

// Limits of the connections to sidecars.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnsPerSidecar = 64
	idleConnTimeout     = 30 * time.Second
)

// NewTransport returns the HTTP/1.1 transport to sidecars. It never follows a
// proxy and keeps connections open between calls.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewTransportWithDial(dialer.DialContext)
}

// NewTransportWithDial is NewTransport over connections that dial opens.
func NewTransportWithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerSidecar,
		IdleConnTimeout:     idleConnTimeout,
		DialContext:         dial,
	}
}

// attempt is one try of a call at one endpoint.
type attempt struct {
	id       string
	endpoint infra.Instance
	began    time.Time
	sent     atomic.Bool // a connection was handed to the request
	turn     atomic.Bool // a suspect's turn to run alone has come
}

// request builds the message to the sidecar. The body has no GetBody, so that
// the transport never repeats it by itself.
func (a *attempt) request(ctx context.Context, c *pipeline.Call, body []byte) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) },
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				a.turn.Store(true)
			}
			return nil
		},
	}
	r := &http.Request{
		Method:        c.R.Method,
		URL:           a.url(c.R.URL),
		Header:        a.header(c),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
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
	h := c.R.Header.Clone()
	authn.StripCredentials(h)
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

// lost is the end of an attempt whose connection failed or was ended. ctx is
// that of the attempt.
func (a *attempt) lost(ctx context.Context) *end {
	outcome := api.NotRun
	if a.sent.Load() {
		outcome = api.Unknown
	}
	switch context.Cause(ctx) {
	case nil:
		broken := outcome == api.Unknown
		return &end{err: lostError(outcome), repeat: true, failed: true, broken: broken}
	case errSilent:
		return &end{err: lostError(outcome), repeat: true, failed: true}
	case context.DeadlineExceeded:
		return &end{err: deadlineError(outcome)}
	}
	return &end{err: cancelledError(context.Cause(ctx), outcome)}
}

// cancelledError ends a call that was cancelled for a cause, which the caller
// is told if it is meant for callers.
func cancelledError(cause error, o api.Outcome) *api.Error {
	var reason *api.Error
	if !errors.As(cause, &reason) {
		return goneError(o)
	}
	told := *reason
	return told.WithOutcome(o)
}

func deadlineError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "no answer before the deadline")
	return e.WithOutcome(o)
}

func lostError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	return e.WithOutcome(o)
}

// goneError ends a call whose caller has gone.
func goneError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeInternal, "the call was cancelled")
	return e.WithOutcome(o)
}

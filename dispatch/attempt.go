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

// NewTransport returns the HTTP/1.1 transport to sidecars. It never uses a proxy,
// and keeps idle connections open between calls.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewTransportWithDial(dialer.DialContext)
}

// NewTransportWithDial is like NewTransport, but opens connections with dial.
func NewTransportWithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerSidecar,
		IdleConnTimeout:     idleConnTimeout,
		DialContext:         dial,
	}
}

// attempt is one attempt to run a call at one endpoint.
type attempt struct {
	id           string
	endpoint     infra.Instance
	startedAt    time.Time
	sent         atomic.Bool // the transport got a connection for the request
	startedAlone atomic.Bool // the sidecar has started this suspect request alone
}

// request returns the HTTP request to the sidecar. It has no GetBody, so that the
// transport never retries it on its own.
func (a *attempt) request(ctx context.Context, c *pipeline.Call, body []byte) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) },
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				a.startedAlone.Store(true)
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
	remaining := max(1, time.Until(c.Deadline).Milliseconds())
	h.Set(api.HeaderRequestID, c.ID)
	h.Set(api.HeaderAttemptID, a.id)
	h.Set(api.HeaderCustomer, c.Customer)
	h.Set(api.HeaderDeployment, c.Route.Deployment)
	h.Set(api.HeaderDeadline, strconv.FormatInt(remaining, 10))
	if c.Route.Idempotent {
		h.Set(api.HeaderIdempotent, "1")
	}
	return h
}

// connectionFailure returns the failure of an attempt whose connection broke or
// was closed. ctx is the context of the attempt; its cause says why.
func (a *attempt) connectionFailure(ctx context.Context) *attemptFailure {
	outcome := api.NotRun
	if a.sent.Load() {
		outcome = api.Unknown
	}
	switch context.Cause(ctx) {
	case nil:
		mayHaveCrashed := outcome == api.Unknown
		return &attemptFailure{err: endpointLostError(outcome), retryable: true, endpointFailed: true, mayHaveCrashed: mayHaveCrashed}
	case errUnresponsive:
		return &attemptFailure{err: endpointLostError(outcome), retryable: true, endpointFailed: true}
	case context.DeadlineExceeded:
		return &attemptFailure{err: deadlineError(outcome)}
	}
	return &attemptFailure{err: cancelledError(context.Cause(ctx), outcome)}
}

// cancelledError returns the error for a call that was cancelled: the cause, if
// it is an *api.Error and so meant for callers, or that of callerLeftError.
func cancelledError(cause error, o api.Outcome) *api.Error {
	var reason *api.Error
	if !errors.As(cause, &reason) {
		return callerLeftError(o)
	}
	e := *reason
	return e.WithOutcome(o)
}

func deadlineError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "no answer before the deadline")
	return e.WithOutcome(o)
}

func endpointLostError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	return e.WithOutcome(o)
}

// callerLeftError returns the error for a call whose caller has disconnected.
func callerLeftError(o api.Outcome) *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeInternal, "the call was cancelled")
	return e.WithOutcome(o)
}

package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/upstream"
)

// copyBufferBytes is the size of the buffers for copying responses.
const copyBufferBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// singleUseBody is a request body that net/http can't rewind. This keeps the
// transport from retrying a request on its own.
type singleUseBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// callEndpoint sends req to the endpoint and returns the response, whose body
// the caller must close. The outcome of an error is not_run only if no
// connection was obtained for the request.
func (s *Sidecar) callEndpoint(ctx context.Context, req *request) (*http.Response, *api.Error) {
	target, err := s.target(req)
	if err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed path")
	}
	if req.Attempt != "" {
		s.checkStartInvariants(req)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
			s.attempts.recordSent(req.Attempt)
		},
	})
	out := (&http.Request{
		Method:        req.Method,
		URL:           target,
		Host:          target.Host,
		Header:        endpointHeader(req),
		Body:          singleUseBody{bytes.NewReader(req.Body)},
		ContentLength: int64(len(req.Body)),
	}).WithContext(ctx)
	resp, err := s.transport.RoundTrip(out)
	if err != nil {
		return nil, callError(ctx, sent.Load())
	}
	if !upstream.ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close() // the connection is not used again
		return nil, endpointLost().WithOutcome(api.Unknown)
	}
	s.observeCold(resp.Header)
	return resp, nil
}

func endpointLost() *api.Error {
	return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
}

// checkStartInvariants checks the invariants that hold whenever an attempt is
// sent to the endpoint.
func (s *Sidecar) checkStartInvariants(req *request) {
	sends := s.attempts.sends(req.Attempt)
	s.deps.Invariants.Check(req.Retryable || sends == 0, invariant.AtMostOnce, "attempt %s was sent to the endpoint before", req.Attempt)
	s.deps.Invariants.Check(!s.gate.runsBesideSuspect(req.Attempt), invariant.SuspectRunsAlone, "attempt %s starts while an online suspect runs", req.Attempt)
	s.deps.Invariants.Check(s.drain.mayStart(time.Now()), invariant.NoWorkWhenLeaving, "attempt %s starts while the endpoint drains", req.Attempt)
}

// target returns the URL of req at the endpoint.
func (s *Sidecar) target(req *request) (*url.URL, error) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme = s.endpointURL.Scheme
	u.Host = s.endpointURL.Host
	return u, nil
}

// callError returns the error of a failed call to the endpoint. sent reports
// whether a connection was obtained for it.
func callError(ctx context.Context, sent bool) *api.Error {
	e := endpointLost()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e = api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed")
	}
	if sent {
		return e.WithOutcome(api.Unknown)
	}
	return e
}

// responseCopier copies one response of the endpoint to an entry.
type responseCopier struct {
	w            http.ResponseWriter
	body         io.Reader
	onFirstByte  func() // called before the first byte
	onEvents     func() // called for each read that contains events
	events       int    // server-sent events forwarded, counted by eventPrefix in each read
	endpointLost bool   // reading from the endpoint failed
	latency      *latencyObserver
}

// isEventStream reports whether resp is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

var eventPrefix = []byte("data: ")

// copy copies the header and the body of resp. It returns false if reading from
// the endpoint or writing to the entry failed.
func (c *responseCopier) copy(resp *http.Response) bool {
	copyResponseHeader(c.w.Header(), resp.Header)
	c.w.Header().Set(api.HeaderOutcome, string(api.Done))
	c.w.WriteHeader(resp.StatusCode)
	flusher, _ := c.w.(http.Flusher)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := c.body.Read(*buf)
		if n > 0 && !c.write((*buf)[:n], flusher) {
			return false
		}
		if err != nil {
			c.endpointLost = err != io.EOF
			return !c.endpointLost
		}
	}
}

// write writes b to the entry and flushes it. It returns false if writing failed.
func (c *responseCopier) write(b []byte, flusher http.Flusher) bool {
	if c.onFirstByte != nil {
		c.onFirstByte()
		c.onFirstByte = nil
	}
	if n := bytes.Count(b, eventPrefix); n > 0 {
		c.events += n
		c.latency.observe(time.Now())
		c.onEvents()
	}
	if _, err := c.w.Write(b); err != nil {
		return false
	}
	if flusher != nil {
		flusher.Flush()
	}
	return true
}

// detectResets returns dial with connections that do not take a reset for the end of a
// response.
func detectResets(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return upstream.DetectResets(c), nil
	}
}

package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
)

// copyBufferBytes is the size of the buffers that answers pass through.
const copyBufferBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// singleUse is a request body that net/http can't rewind: it keeps the
// transport from sending a request for a second time on its own.
type singleUseBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// call sends req to the endpoint and returns the head of its answer. The
// outcome of an error is not_run only if no connection was handed the request.
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
	if err == nil {
		return resp, nil
	}
	return nil, callError(ctx, sent.Load())
}

// checkStart asserts what holds whenever work starts at the endpoint.
func (s *Sidecar) checkStartInvariants(req *request) {
	runs := s.attempts.sends(req.Attempt)
	s.deps.Invariants.Check(req.Retryable || runs == 0, invariant.AtMostOnce, "attempt %s was sent before", req.Attempt)
	s.deps.Invariants.Check(!s.gate.runsBesideSuspect(req.Attempt), invariant.SuspectRunsAlone, "attempt %s starts beside a suspect", req.Attempt)
	s.deps.Invariants.Check(s.drain.mayStart(time.Now()), invariant.NoWorkWhenLeaving, "attempt %s starts", req.Attempt)
}

func (s *Sidecar) target(req *request) (*url.URL, error) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme = s.endpointURL.Scheme
	u.Host = s.endpointURL.Host
	return u, nil
}

func callError(ctx context.Context, sent bool) *api.Error {
	e := api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e = api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed")
	}
	if sent {
		return e.WithOutcome(api.Unknown)
	}
	return e
}

// answerCopy passes one answer on to an entry.
type responseCopier struct {
	w            http.ResponseWriter
	body         io.Reader
	onFirstByte  func() // called before the first byte
	onEvents     func() // called for each part with events
	events       int    // server-sent events passed on
	endpointLost bool   // the endpoint's connection was cut
	latency      *latencyObserver
}

// streamed reports whether an answer is a stream of events.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

var eventPrefix = []byte("data: ")

// copy streams the answer. It returns false if the answer or the entry's
// connection was cut.
func (a *responseCopier) copy(resp *http.Response) bool {
	copyResponseHeader(a.w.Header(), resp.Header)
	a.w.Header().Set(api.HeaderOutcome, string(api.Done))
	a.w.WriteHeader(resp.StatusCode)
	flusher, _ := a.w.(http.Flusher)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.body.Read(*buf)
		if n > 0 && !a.write((*buf)[:n], flusher) {
			return false
		}
		if err != nil {
			a.endpointLost = err != io.EOF
			return !a.endpointLost
		}
	}
}

func (a *responseCopier) write(b []byte, flusher http.Flusher) bool {
	if a.onFirstByte != nil {
		a.onFirstByte()
		a.onFirstByte = nil
	}
	if n := bytes.Count(b, eventPrefix); n > 0 {
		a.events += n
		a.latency.observe(time.Now())
		a.onEvents()
	}
	if _, err := a.w.Write(b); err != nil {
		return false
	}
	if flusher != nil {
		flusher.Flush()
	}
	return true
}

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
type singleUse struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// call sends req to the endpoint and returns the head of its answer. The
// outcome of an error is not_run only if no connection was handed the request.
func (s *Sidecar) call(ctx context.Context, req *request) (*http.Response, *api.Error) {
	target, err := s.target(req)
	if err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed path")
	}
	if req.Attempt != "" {
		s.checkStart(req)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
			s.attempts.sent(req.Attempt)
		},
	})
	out := (&http.Request{
		Method:        req.Method,
		URL:           target,
		Host:          target.Host,
		Header:        endpointHeader(req),
		Body:          singleUse{bytes.NewReader(req.Body)},
		ContentLength: int64(len(req.Body)),
	}).WithContext(ctx)
	resp, err := s.transport.RoundTrip(out)
	if err == nil {
		return resp, nil
	}
	return nil, callError(ctx, sent.Load())
}

// checkStart asserts what holds whenever work starts at the endpoint.
func (s *Sidecar) checkStart(req *request) {
	runs := s.attempts.runs(req.Attempt)
	s.deps.Invariants.Check(req.MayRepeat || runs == 0, invariant.AtMostOnce, "attempt %s was sent before", req.Attempt)
	s.deps.Invariants.Check(!s.gate.startsBeside(req.Attempt), invariant.SuspectRunsAlone, "attempt %s starts beside a suspect", req.Attempt)
	s.deps.Invariants.Check(s.drain.mayStart(time.Now()), invariant.NoWorkWhenLeaving, "attempt %s starts", req.Attempt)
}

func (s *Sidecar) target(req *request) (*url.URL, error) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme = s.base.Scheme
	u.Host = s.base.Host
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
type answerCopy struct {
	w      http.ResponseWriter
	body   io.Reader
	first  func() // called before the first byte
	token  func() // called for each part with events
	events int    // server-sent events passed on
	lost   bool   // the endpoint's connection was cut
	watch  *answerWatch
}

// streamed reports whether an answer is a stream of events.
func streamed(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

var eventStart = []byte("data: ")

// copy streams the answer. It returns false if the answer or the entry's
// connection was cut.
func (a *answerCopy) copy(resp *http.Response) bool {
	copyAnswerHeader(a.w.Header(), resp.Header)
	a.w.Header().Set(api.HeaderOutcome, string(api.Done))
	a.w.WriteHeader(resp.StatusCode)
	flusher, _ := a.w.(http.Flusher)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.body.Read(*buf)
		if n > 0 && !a.pass((*buf)[:n], flusher) {
			return false
		}
		if err != nil {
			a.lost = err != io.EOF
			return !a.lost
		}
	}
}

func (a *answerCopy) pass(b []byte, flusher http.Flusher) bool {
	if a.first != nil {
		a.first()
		a.first = nil
	}
	if n := bytes.Count(b, eventStart); n > 0 {
		a.events += n
		a.watch.read(time.Now())
		a.token()
	}
	if _, err := a.w.Write(b); err != nil {
		return false
	}
	if flusher != nil {
		flusher.Flush()
	}
	return true
}

package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"

	"dandelionrelay/api"
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
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
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

// copyAnswer streams an answer to the entry. It cuts the entry's connection if
// the answer is cut.
func (s *Sidecar) copyAnswer(w http.ResponseWriter, resp *http.Response) {
	copyAnswerHeader(w.Header(), resp.Header)
	w.Header().Set(api.HeaderOutcome, string(api.Done))
	w.WriteHeader(resp.StatusCode)
	flusher, _ := w.(http.Flusher)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

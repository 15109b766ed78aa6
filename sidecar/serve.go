package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/api"
)

// ProbePath is answered by the sidecar itself: 204 if the endpoint answers its
// health check, with the same headers as other answers.
const ProbePath = "/-/relay/probe"

// probeTimeout bounds the health check of a probe.
const probeTimeout = time.Second

// ServeHTTP implements http.Handler for entries.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.setState(w.Header(), now)
	if r.URL.Path == ProbePath {
		s.serveProbe(w, r)
		return
	}
	req, e := s.readRequest(w, r, now)
	if e == nil {
		e = s.serve(w, r, req)
	}
	if e != nil {
		e.RequestID = r.Header.Get(api.HeaderRequestID)
		api.WriteError(w, e)
	}
}

// setState tells the entry how this endpoint stands.
func (s *Sidecar) setState(h http.Header, _ time.Time) {
	h.Set(api.HeaderQueueWait, strconv.FormatInt(s.QueueWait().Milliseconds(), 10))
	if s.drain.leaving() {
		h.Set(api.HeaderLeaving, "1")
	}
}

// QueueWait estimates how long a new online request waits for its start.
func (s *Sidecar) QueueWait() time.Duration { return 0 }

func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request, req *request) *api.Error {
	if !s.drain.enter() {
		return api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint is leaving")
	}
	defer s.drain.exit()
	switch s.attempts.add(req.Attempt, time.Now()) {
	case duplicate:
		return api.NewError(http.StatusConflict, api.CodeConflict, "attempt was received before").WithOutcome(api.Unknown)
	case full:
		return api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "too many attempts").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	resp, e := s.call(ctx, req)
	if e != nil {
		return e
	}
	defer resp.Body.Close()
	s.copyAnswer(w, resp)
	return nil
}

func (s *Sidecar) serveProbe(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), probeTimeout)
	defer cancel()
	resp, e := s.call(ctx, &request{Method: http.MethodGet, Path: "/health", Header: http.Header{}})
	if e != nil {
		api.WriteError(w, e.WithOutcome(api.NotRun))
		return
	}
	_ = resp.Body.Close()
	w.WriteHeader(http.StatusNoContent)
}

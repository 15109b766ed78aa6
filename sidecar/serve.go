package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/lane"
)

// ProbePath is the path of the sidecar's health probe. It returns 204 if the
// endpoint passes its health check, and the same headers as other responses.
const ProbePath = "/-/relay/probe"

// ServeHTTP implements http.Handler. Its callers are entries.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.setStateHeaders(w.Header())
	w.Header().Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
	if r.URL.Path == ProbePath {
		s.serveProbe(w, r)
		return
	}
	req, e := s.readRequest(w, r, now)
	if e == nil {
		defer s.logRequestEnd(req, &e)
		e = s.serve(w, r, req)
	}
	if e != nil {
		s.checkNotRun(e, r.Header.Get(api.HeaderAttemptID))
		s.metrics.countRefusal(e)
		e.RequestID = r.Header.Get(api.HeaderRequestID)
		s.setStateHeaders(w.Header())
		api.WriteError(w, e)
	}
}

// setStateHeaders sets the headers with the version of the endpoint's software, the
// expected queue wait in milliseconds and, if the endpoint drains, with its leaving state.
func (s *Sidecar) setStateHeaders(h http.Header) {
	wait := s.QueueWait()
	if s.gate.hasSuspects() {
		wait += suspectRetryAfter // so that entries prefer other endpoints
	}
	if v := s.settings.EndpointVersion; v != "" {
		h.Set(api.HeaderEndpointVersion, v)
	}
	h.Set(api.HeaderQueueWait, strconv.FormatInt(wait.Milliseconds(), 10))
	if s.drain.isDraining() {
		h.Set(api.HeaderLeaving, "1")
	}
}

// QueueWait estimates how long a new online request waits for its start.
func (s *Sidecar) QueueWait() time.Duration { return s.scheduler.queueWait() }

// serve queues a request, runs it at the endpoint and writes the response. An
// error is returned only if no final response was written.
func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request, req *request) *api.Error {
	d, ok := s.deployment()
	if !ok {
		return unavailable(api.CodeNoEndpoint, "the deployment is not configured")
	}
	s.applyDeployment(d)
	cost, e := s.prepareBody(req, d)
	if e != nil {
		return e
	}
	if s.evacuated() {
		return evacuatedError()
	}
	if !s.drain.add() {
		return unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	}
	defer s.drain.done()
	suspect := isSuspect(r.Header)
	if !suspect && !s.gate.admitsOnline() {
		return isolationError("a suspect request runs here")
	}
	s.metrics.countSuspect(suspect)
	switch s.attempts.add(req.Attempt, req.Received) {
	case attemptDuplicate:
		return api.NewError(http.StatusConflict, api.CodeConflict, "attempt was received before").WithOutcome(api.Unknown)
	case attemptsFull:
		return unavailable(api.CodeOverloaded, "too many attempts").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	if suspect {
		release, e := s.acquireExclusive(ctx, req.Customer)
		if e != nil {
			return e
		}
		defer release()
	}
	if e := s.awaitStart(ctx, req, cost); e != nil {
		return e
	}
	if e := s.beginAttempt(ctx, req.Attempt, suspect); e != nil {
		s.scheduler.finishRequest(req.Attempt, 0)
		return e
	}
	defer func() { s.gate.end(req.Attempt, ctx.Err() != nil) }()
	if suspect {
		w.WriteHeader(http.StatusProcessing) // tells the entry that the suspect starts to run
	}
	return s.runRequest(ctx, w, req)
}

// beginAttempt registers a started request as in flight at the endpoint, a
// suspect once no other attempt runs. Requests are not sent to an endpoint that
// has crashed, as the crash would be attributed to them, or that was evacuated while
// they waited.
func (s *Sidecar) beginAttempt(ctx context.Context, attempt string, suspect bool) *api.Error {
	if s.evacuated() {
		return evacuatedError()
	}
	if suspect && !s.gate.beginExclusive(ctx, attempt) || !suspect && !s.gate.begin(attempt, true) {
		return isolationError("a suspect request runs here")
	}
	if !s.endpointHealthy(ctx) {
		s.gate.end(attempt, false)
		return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	}
	return nil
}

// unavailable returns an error with status 503.
func unavailable(code api.Code, message string) *api.Error {
	return api.NewError(http.StatusServiceUnavailable, code, message)
}

// awaitStart queues the request and returns nil once it may start, or an error
// if it is refused, its deadline passes or the endpoint drains.
func (s *Sidecar) awaitStart(ctx context.Context, req *request, cost float64) *api.Error {
	customer := s.deps.Config.Current().State.Customers[req.Customer]
	t := s.scheduler.submitRequest(lane.Request{
		ID:           req.Attempt,
		Customer:     req.Customer,
		Weight:       customer.Weight,
		Cost:         cost,
		PromptTokens: float64(len(req.Body) / tokenBytes),
		Deadline:     req.Deadline,
	})
	req.arrivalLoad = t.arrivalLoad
	select {
	case <-t.started:
		return nil
	case r := <-t.refused:
		return refusalError(r)
	case <-s.drain.draining():
		if !s.scheduler.cancelWaitingRequest(req.Attempt) {
			return nil
		}
		return unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	case <-ctx.Done():
	}
	if !s.scheduler.cancelWaitingRequest(req.Attempt) {
		s.scheduler.finishRequest(req.Attempt, 0)
	}
	wait := max(minRetryAfter, s.QueueWait())
	return api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed in the queue").WithRetryAfter(wait)
}

// minRetryAfter is the shortest Retry-After of a refused request.
const minRetryAfter = time.Second

// refusalError returns the error for a request that the queue refused.
func refusalError(r lane.Refusal) *api.Error {
	message := "too many requests wait"
	switch r.Reason {
	case lane.DeadlineMiss:
		message = "the deadline can't be met"
	case lane.EndpointCold:
		message = "the endpoint is cold, and too many requests wait"
	}
	return unavailable(api.CodeOverloaded, message).WithRetryAfter(max(minRetryAfter, r.RetryAfter))
}

// checkNotRun asserts that no connection to the endpoint was obtained for an
// attempt that is reported as not run.
func (s *Sidecar) checkNotRun(e *api.Error, attempt string) {
	sends := s.attempts.sends(attempt)
	s.deps.Invariants.Check(e.Outcome != api.NotRun || sends == 0, invariant.NotRunIsTrue, "attempt %s is reported as not run, but was sent to the endpoint", attempt)
}

// runRequest sends a started request to the endpoint and forwards the response.
// If the response is incomplete, it aborts the connection of the entry by a panic
// with http.ErrAbortHandler.
func (s *Sidecar) runRequest(ctx context.Context, w http.ResponseWriter, req *request) *api.Error {
	tokens := 0
	defer func() { s.scheduler.finishRequest(req.Attempt, req.actualCost(tokens)) }()
	resp, e := s.callEndpoint(ctx, req)
	if e != nil {
		if ctx.Err() == nil {
			s.recordEndpointLost(req.Attempt, e.Outcome)
		}
		return e
	}
	defer resp.Body.Close()
	s.setStateHeaders(w.Header())
	copier := &responseCopier{
		w:           w,
		body:        resp.Body,
		onFirstByte: func() { s.scheduler.recordFirstToken(req.Attempt, time.Since(req.Received)) },
		onEvents:    s.scheduler.recordToken,
	}
	if isEventStream(resp) {
		copier.latency = s.metrics.newLatencyObserver(req)
	}
	if req.arrivalLoad.besideBatch {
		w.Header().Set(api.HeaderBesideBatch, "1")
	}
	complete := copier.copy(resp)
	tokens = copier.events
	if copier.endpointLost && ctx.Err() == nil {
		s.recordEndpointLost(req.Attempt, api.Unknown)
	}
	if !complete {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// serveProbe returns 204 if the endpoint passes its health check. Otherwise it
// returns the error, and in a header how the endpoint crashed while the attempt
// that the entry names was in flight.
func (s *Sidecar) serveProbe(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.deployment(); !ok {
		api.WriteError(w, unavailable(api.CodeNoEndpoint, "the deployment is not configured"))
		return
	}
	if e := s.checkHealth(r.Context()); e != nil {
		w.Header().Set(api.HeaderCrash, string(s.gate.crashOf(r.Header.Get(api.HeaderAttemptID))))
		api.WriteError(w, e)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

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

// ProbePath is answered by the sidecar itself: 204 if the endpoint answers its
// health check, with the same headers as other answers.
const ProbePath = "/-/relay/probe"

// ServeHTTP implements http.Handler for entries.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.setState(w.Header())
	w.Header().Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
	if r.URL.Path == ProbePath {
		s.serveProbe(w, r)
		return
	}
	req, e := s.readRequest(w, r, now)
	if e == nil {
		defer s.logEnd(req, &e)
		e = s.serve(w, r, req)
	}
	if e != nil {
		s.checkNotRun(e, r.Header.Get(api.HeaderAttemptID))
		s.metrics.refused(e)
		e.RequestID = r.Header.Get(api.HeaderRequestID)
		s.setState(w.Header())
		api.WriteError(w, e)
	}
}

// setState tells the entry how this endpoint stands.
func (s *Sidecar) setState(h http.Header) {
	wait := s.QueueWait()
	if s.gate.isolating() {
		wait += suspectRetryAfter // entries that have a choice go elsewhere
	}
	h.Set(api.HeaderQueueWait, strconv.FormatInt(wait.Milliseconds(), 10))
	if s.drain.isLeaving() {
		h.Set(api.HeaderLeaving, "1")
	}
}

// QueueWait estimates how long a new online request waits for its start.
func (s *Sidecar) QueueWait() time.Duration { return s.schedule.wait() }

func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request, req *request) *api.Error {
	d, ok := s.deployment()
	if !ok {
		return unavailable(api.CodeNoEndpoint, "the deployment is not configured")
	}
	s.schedule.follow(d)
	cost, e := s.prepare(req, d)
	if e != nil {
		return e
	}
	if !s.drain.enter() {
		return unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	}
	defer s.drain.exit()
	suspected := suspicious(r.Header)
	if !suspected && !s.gate.admits() {
		return isolated("a suspect request runs here")
	}
	s.metrics.suspected(suspected)
	switch s.attempts.add(req.Attempt, req.Received) {
	case duplicate:
		return api.NewError(http.StatusConflict, api.CodeConflict, "attempt was received before").WithOutcome(api.Unknown)
	case full:
		return unavailable(api.CodeOverloaded, "too many attempts").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	if suspected {
		leave, e := s.isolate(ctx, req.Customer)
		if e != nil {
			return e
		}
		defer leave()
	}
	if e := s.awaitStart(ctx, req, cost); e != nil {
		return e
	}
	if e := s.enter(ctx, req.Attempt, suspected); e != nil {
		s.schedule.finish(req.Attempt, 0)
		return e
	}
	defer func() { s.gate.leave(req.Attempt, ctx.Err() != nil) }()
	if suspected {
		w.WriteHeader(http.StatusProcessing) // the entry learns that its turn has come
	}
	return s.run(ctx, w, req)
}

// enter notes that a started request goes to the endpoint, a suspect once
// nothing else runs there. What comes after a crash does not go there: it would
// be blamed for it.
func (s *Sidecar) enter(ctx context.Context, attempt string, suspected bool) *api.Error {
	if suspected && !s.gate.enterAlone(ctx, attempt) || !suspected && !s.gate.enter(attempt, true) {
		return isolated("a suspect request runs here")
	}
	if !s.endpointAnswers(ctx) {
		s.gate.leave(attempt, false)
		return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	}
	return nil
}

func unavailable(code api.Code, message string) *api.Error {
	return api.NewError(http.StatusServiceUnavailable, code, message)
}

// awaitStart returns nil once the request may start.
func (s *Sidecar) awaitStart(ctx context.Context, req *request, cost float64) *api.Error {
	customer := s.deps.Config.Current().State.Customers[req.Customer]
	t := s.schedule.arrive(lane.Request{
		ID:           req.Attempt,
		Customer:     req.Customer,
		Weight:       customer.Weight,
		Cost:         cost,
		PromptTokens: float64(len(req.Body) / tokenBytes),
		Deadline:     req.Deadline,
	})
	req.admission = t.admission
	select {
	case <-t.started:
		return nil
	case r := <-t.refused:
		return refusalError(r)
	case <-s.drain.leaving():
		if !s.schedule.leave(req.Attempt) {
			return nil
		}
		return unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	case <-ctx.Done():
	}
	if !s.schedule.leave(req.Attempt) {
		s.schedule.finish(req.Attempt, 0)
	}
	wait := max(minRetryAfter, s.QueueWait())
	return api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed in the queue").WithRetryAfter(wait)
}

// minRetryAfter is the shortest time after which a refused caller is told to
// come back.
const minRetryAfter = time.Second

func refusalError(r lane.Refusal) *api.Error {
	message := "too many requests wait"
	if r.Reason == lane.DeadlineMiss {
		message = "the deadline can't be met"
	}
	return unavailable(api.CodeOverloaded, message).WithRetryAfter(max(minRetryAfter, r.RetryAfter))
}

// checkNotRun asserts that an attempt that is said not to have run never got a
// connection to the endpoint.
func (s *Sidecar) checkNotRun(e *api.Error, attempt string) {
	runs := s.attempts.runs(attempt)
	s.deps.Invariants.Check(e.Outcome != api.NotRun || runs == 0, invariant.NotRunIsTrue, "attempt %s was sent", attempt)
}

// run passes a started request through the endpoint.
func (s *Sidecar) run(ctx context.Context, w http.ResponseWriter, req *request) *api.Error {
	tokens := 0
	defer func() { s.schedule.finish(req.Attempt, req.promptCost(tokens)) }()
	resp, e := s.call(ctx, req)
	if e != nil {
		if ctx.Err() == nil {
			s.endpointLost(req.Attempt, e.Outcome)
		}
		return e
	}
	defer resp.Body.Close()
	s.setState(w.Header())
	answer := &answerCopy{
		w:     w,
		body:  resp.Body,
		first: func() { s.schedule.firstToken(req.Attempt, time.Since(req.Received)) },
		token: s.schedule.token,
	}
	if streamed(resp) {
		answer.watch = s.metrics.watchAnswer(req)
	}
	if req.admission.besideBatch {
		w.Header().Set(api.HeaderBesideBatch, "1")
	}
	whole := answer.copy(resp)
	tokens = answer.events
	if answer.lost && ctx.Err() == nil {
		s.endpointLost(req.Attempt, api.Unknown)
	}
	if !whole {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// serveProbe tells an entry whether the endpoint is well, and what was seen of
// its crash with the attempt that the entry names.
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

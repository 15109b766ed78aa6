package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/pipeline"
)

const (
	// Header is the name of the HTTP header that carries the caller's key.
	Header = "Idempotency-Key"

	maxKeyBytes      = 255
	maxResponseBytes = 16 << 10    // largest response body stored for resends
	retryAfter       = time.Second // suggested to callers
)

// Filter returns a handler that runs a call with an idempotency key at most once
// for each key. Calls without a key and calls of idempotent routes go to next
// directly.
func (s *Service) Filter(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		key := c.R.Header.Get(Header)
		if key == "" || c.Route.Idempotent {
			return next(ctx, c)
		}
		if e := s.checkKey(key, time.Now()); e != nil {
			return e
		}
		return s.runOnce(ctx, c, key, next)
	}
}

// checkKey rejects keys that are too long, and keys that carry a time (UUID
// version 7) that lies in the future or so far in the past that the key may have
// expired from the table: a resend could not be told from a new call.
func (s *Service) checkKey(key string, now time.Time) *api.Error {
	if len(key) > maxKeyBytes {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the idempotency key is too long")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return nil
	}
	age := now.Sub(time.Unix(id.Time().UnixTime()))
	if age > s.window-clockMargin {
		return api.NewError(http.StatusConflict, api.CodeConflict, "the idempotency key is too old to be told from a resend")
	}
	if age < -clockMargin {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the idempotency key lies in the future")
	}
	return nil
}

// runOnce runs the call if no other request with its key has begun it. Otherwise
// it sends the stored response or returns an error.
func (s *Service) runOnce(ctx context.Context, c *pipeline.Call, header string, next pipeline.Handler) *api.Error {
	e := Event{
		Kind:  Begin,
		Key:   KeyOf(c.Customer, c.RouteID, header),
		Token: uuid.NewString(),
		Body:  BodyOf(c.R.Method, c.R.URL.RequestURI(), c.Body),
		Until: c.Deadline.Add(clockMargin),
	}
	ctxBegin, cancel := context.WithDeadline(ctx, c.Deadline)
	v, response := s.begin(ctxBegin, e)
	cancel()
	switch {
	case v == Answered && response != nil:
		return replay(c, response)
	case v != Run:
		return refusalError(v)
	}
	return s.run(ctx, c, e, next)
}

// run runs the call and stores its outcome.
func (s *Service) run(ctx context.Context, c *pipeline.Call, e Event, next pipeline.Handler) *api.Error {
	if ctx.Err() != nil || !time.Now().Before(c.Deadline) {
		s.finish(e.withKind(Void))
		return api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed").WithRetryAfter(retryAfter)
	}
	out := &responseRecorder{ResponseWriter: c.W}
	c.W = out
	end := e.withKind(End)
	defer func() { // also if a panic aborts the response
		c.W = out.ResponseWriter
		s.finish(end)
	}()
	err := next(ctx, c)
	switch {
	case err == nil:
		end.Answer = out.response()
	case err.Outcome == api.NotRun:
		end.Kind = Void
		s.deps.Invariants.Check(!out.started, invariant.NotRunIsTrue, "call %s has sent a response but is reported as not run", c.ID)
	}
	return err
}

// refusalError returns the error for a request that is not run because of v.
func refusalError(v Verdict) *api.Error {
	switch v {
	case Conflict:
		return api.NewError(http.StatusUnprocessableEntity, api.CodeConflict,
			"the idempotency key was used with another request")
	case Running:
		e := api.NewError(http.StatusConflict, api.CodeConflict, "a request with this idempotency key is running")
		return e.WithOutcome(api.Unknown).WithRetryAfter(retryAfter)
	case OutcomeUnknown, Answered:
		// Answered without a response: the record read at its offset holds none
		// for the key, or can't be decoded.
		e := api.NewError(http.StatusConflict, api.CodeConflict,
			"a request with this idempotency key may have run; its answer is lost")
		return e.WithOutcome(api.Unknown)
	}
	e := api.NewError(http.StatusServiceUnavailable, api.CodeLogDown, "the log can't be asked for the idempotency key")
	return e.WithRetryAfter(retryAfter)
}

// replay sends the stored response, or returns an error if its body was too
// large to be stored.
func replay(c *pipeline.Call, a *Answer) *api.Error {
	if a.TooLarge {
		e := api.NewError(http.StatusConflict, api.CodeConflict, "the request ran; its answer was too large to keep")
		return e.WithOutcome(api.Done)
	}
	h := c.W.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(api.HeaderRequestID, c.ID)
	h.Set(api.HeaderOutcome, string(api.Done))
	c.W.WriteHeader(a.Status)
	c.ResponseStarted = true
	_, _ = c.W.Write(a.Body)
	return nil
}

// responseRecorder passes a response on and keeps a copy of a body of up to
// maxResponseBytes.
type responseRecorder struct {
	http.ResponseWriter
	started  bool
	status   int
	body     []byte
	tooLarge bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.started = true
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.started = true
	if len(r.body)+len(b) > maxResponseBytes {
		r.tooLarge = true
		r.body = nil
	}
	if !r.tooLarge {
		r.body = append(r.body, b...)
	}
	return r.ResponseWriter.Write(b)
}

// response returns the response that was sent.
func (r *responseRecorder) response() *Answer {
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	return &Answer{
		Status:      status,
		ContentType: r.Header().Get("Content-Type"),
		Body:        r.body,
		TooLarge:    r.tooLarge,
	}
}

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
	// Header names the caller's key.
	Header = "Idempotency-Key"

	maxKeyBytes    = 255
	maxAnswerBytes = 16 << 10 // largest answer kept for resends
	retryAfter     = time.Second
)

// Filter runs calls that may not be repeated once for each key. Other calls
// pass through.
func (s *Service) Filter(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		key := c.R.Header.Get(Header)
		if key == "" || c.Route.Idempotent {
			return next(ctx, c)
		}
		if e := s.checkKey(key, time.Now()); e != nil {
			return e
		}
		return s.once(ctx, c, key, next)
	}
}

// checkKey refuses keys that can't be kept apart from older ones: a key that
// carries its time (UUID version 7) is refused once it may be forgotten.
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

// once runs the call if no other request with its key did.
func (s *Service) once(ctx context.Context, c *pipeline.Call, header string, next pipeline.Handler) *api.Error {
	e := Event{
		Kind:  Begin,
		Key:   KeyOf(c.Customer, c.RouteID, header),
		Token: uuid.NewString(),
		Body:  BodyOf(c.R.Method, c.R.URL.RequestURI(), c.Body),
		Until: c.Deadline.Add(clockMargin),
	}
	ctxBegin, cancel := context.WithDeadline(ctx, c.Deadline)
	v, answer := s.begin(ctxBegin, e)
	cancel()
	switch {
	case v == Answered && answer != nil:
		return replay(c, answer)
	case v != Run:
		return refusal(v)
	}
	return s.run(ctx, c, e, next)
}

// run runs the call and stores how it ended.
func (s *Service) run(ctx context.Context, c *pipeline.Call, e Event, next pipeline.Handler) *api.Error {
	if ctx.Err() != nil || !time.Now().Before(c.Deadline) {
		s.finish(e.as(Void))
		return api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, "the deadline passed").WithRetryAfter(retryAfter)
	}
	out := &recorder{ResponseWriter: c.W}
	c.W = out
	end := e.as(End)
	defer func() { // also when the answer is cut by a panic
		c.W = out.ResponseWriter
		s.finish(end)
	}()
	err := next(ctx, c)
	switch {
	case err == nil:
		end.Answer = out.answer()
	case err.Outcome == api.NotRun:
		end.Kind = Void
		s.deps.Invariants.Check(!out.began, invariant.NotRunIsTrue, "call %s was answered and is void", c.ID)
	}
	return err
}

// refusal is the answer to a request that doesn't run.
func refusal(v Verdict) *api.Error {
	switch v {
	case Conflict:
		return api.NewError(http.StatusUnprocessableEntity, api.CodeConflict,
			"the idempotency key was used with another request")
	case Running:
		e := api.NewError(http.StatusConflict, api.CodeConflict, "a request with this idempotency key is running")
		return e.WithOutcome(api.Unknown).WithRetryAfter(retryAfter)
	case OutcomeUnknown, Answered: // an answer that could not be read
		e := api.NewError(http.StatusConflict, api.CodeConflict,
			"a request with this idempotency key may have run; its answer is lost")
		return e.WithOutcome(api.Unknown)
	}
	e := api.NewError(http.StatusServiceUnavailable, api.CodeLogDown, "the log can't be asked for the idempotency key")
	return e.WithRetryAfter(retryAfter)
}

// replay gives the stored answer.
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

// recorder passes an answer on and keeps a copy of a small one.
type recorder struct {
	http.ResponseWriter
	began  bool
	status int
	body   []byte
	large  bool
}

// Unwrap lets http.ResponseController find the writer below.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.began = true
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.began = true
	if len(r.body)+len(b) > maxAnswerBytes {
		r.large = true
		r.body = nil
	}
	if !r.large {
		r.body = append(r.body, b...)
	}
	return r.ResponseWriter.Write(b)
}

// answer returns what was sent.
func (r *recorder) answer() *Answer {
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	return &Answer{
		Status:      status,
		ContentType: r.Header().Get("Content-Type"),
		Body:        r.body,
		TooLarge:    r.large,
	}
}

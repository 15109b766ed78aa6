// Package online serves callers' requests at endpoints: it places them, goes on
// elsewhere where that is allowed, and passes answers on piece by piece.
package online

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/boottime"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/upstream"
)

// Deps is what a Service works with.
type Deps struct {
	Table   *placement.Table
	Pool    *upstream.Pool
	Dialect upstream.Dialect
	Clock   boottime.Clock
	Log     zerolog.Logger
	Metrics *Metrics
	// Suspects are the requests that endpoints died of.
	Suspects quarantine.Suspects
	// ConfigFresh reports whether the call may still run under the configuration
	// that admitted it; it is asked right before each send.
	ConfigFresh func(c *pipeline.Call) bool
	// ConfigAge tells, for the log, how long ago the configuration was
	// confirmed.
	ConfigAge func() time.Duration
}

// Service is the last step of the pipeline.
type Service struct{ Deps }

// New returns a Service.
func New(d Deps) *Service { return &Service{Deps: d} }

// Handle serves a call; it is a pipeline.Handler.
func (s *Service) Handle(ctx context.Context, c *pipeline.Call) *api.Error {
	a := &execution{
		Service:  s,
		call:     c,
		route:    c.Route.Provided,
		excluded: make(map[placement.Key]bool),
		response: callerResponse{call: c},
	}
	err := a.run(ctx)
	a.report(ctx, err)
	return err
}

// report logs and counts how a request ended.
func (a *execution) report(ctx context.Context, err *api.Error) {
	outcome := outcomeAnswered
	switch {
	case ctx.Err() != nil:
		outcome = outcomeCallerLeft
	case err != nil:
		outcome = string(err.Code)
	}
	c := a.call
	took := time.Since(c.Received)
	a.Metrics.observe(outcome, took, a.response.firstByte)
	event := a.Log.Info().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).
		Str("outcome", outcome).Uint64("config", c.Snapshot.Version).Dur("config_age_ms", a.ConfigAge()).
		Str("endpoint", a.endpoint.ID).Int("at_endpoint_online", a.load.Online).Int("at_endpoint_batch", a.load.Batch).
		Int("asked", a.attempts).Int("began", a.mayHaveRun).Int("status", a.response.status).
		Int64("events", a.response.events).Dur("first_ms", a.response.firstByte).Dur("took_ms", took).
		Dur("left_ms", time.Until(c.Deadline))
	if a.cause != nil {
		event = event.AnErr("cause", a.cause)
	}
	if r := a.refusal; r != nil {
		event = event.Dur("wait_ms", r.Wait).Str("soonest", r.Endpoint).Int("soonest_online", r.Load.Online).
			Int("soonest_batch", r.Load.Batch).Float64("soonest_slowness", r.Slowness).Bool("soonest_full", r.Full)
	}
	if err != nil {
		event = event.Int("refused_with", err.Status).Dur("retry_after_ms", err.RetryAfter)
	}
	event.Msg("request ended")
}

// notRunError is an answer that promises that the request has not run.
func notRunError(code api.Code, message string, retryAfter time.Duration) *api.Error {
	return api.NewError(http.StatusServiceUnavailable, code, message).WithRetryAfter(retryAfter)
}

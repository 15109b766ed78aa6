package gateway

import (
	"context"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/online"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

// buildPipelines sets up the filter chains. Calls pass through the filters from first
// to last.
func (g *Gateway) buildPipelines() {
	service := online.New(online.Deps{
		Table:        g.table,
		Pool:         g.pool,
		Dialect:      g.Dialect,
		Clock:        g.Clock,
		Log:          g.Log,
		Metrics:      online.NewMetrics(g.Registry),
		Suspects:     g.suspects,
		Silences:     g.silences,
		ConfigFresh:  g.configFresh,
		RecordOrigin: g.recordOrigin,
		ConfigAge: func() time.Duration {
			age, _ := g.ConfigFeed.Age()
			return age
		},
	})
	serve := func(ctx context.Context, c *pipeline.Call) *api.Error {
		c.Admitted = true
		return service.Handle(ctx, c)
	}
	g.onlineHandler = pipeline.Chain(serve, g.admission.Filter, g.requireConfig, g.resolveRoute, g.authenticate, g.requireConfirmedKey, quarantine.Filter(g.suspects), g.resolveOrigin, g.limitRate)
	accept := func(context.Context, *pipeline.Call) *api.Error { return nil }
	g.submissionHandler = pipeline.Chain(accept, g.admission.Filter, g.requireConfig, g.resolveRoute, g.authenticate, g.requireConfirmedKey, g.requireStore, g.requireDataCentre)
	g.batchHandler = pipeline.Chain(accept, g.requireConfig, g.authenticate, g.requireStore)
}

// Serve serves a call on a route for online requests. Like Authenticate,
// RouteAndAuthenticate and IsJobSubmission, it requires the Snapshot of the call to be
// set.
func (g *Gateway) Serve(ctx context.Context, c *pipeline.Call) *api.Error {
	err := g.onlineHandler(ctx, c)
	if err != nil && !c.Admitted {
		g.logRefusal(c, err)
	}
	return err
}

// IsJobSubmission reports whether the route of a call accepts batch jobs. It sets the
// route of the call.
func (g *Gateway) IsJobSubmission(c *pipeline.Call) bool {
	return findRoute(c) && c.Route.Provided.Batch != nil
}

// Authenticate sets the customer of a call to the batch interface.
func (g *Gateway) Authenticate(ctx context.Context, c *pipeline.Call) *api.Error {
	return g.logged(c, g.batchHandler(ctx, c))
}

// RouteAndAuthenticate sets the route and the customer of a call that submits a batch
// job.
func (g *Gateway) RouteAndAuthenticate(ctx context.Context, c *pipeline.Call) *api.Error {
	return g.logged(c, g.submissionHandler(ctx, c))
}

// logged logs a call on a job that a filter has refused with err, and returns err.
func (g *Gateway) logged(c *pipeline.Call, err *api.Error) *api.Error {
	if err != nil {
		g.logRefusal(c, err)
	}
	return err
}

// logRefusal logs a call that a filter has refused.
func (g *Gateway) logRefusal(c *pipeline.Call, err *api.Error) {
	age, _ := g.ConfigFeed.Age()
	g.Log.Info().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).Strs("parts", c.PromptParts).
		Str("outcome", string(err.Code)).Str("reason", err.Message).Int("refused_with", err.Status).Dur("retry_after_ms", err.RetryAfter).
		Uint64("config", c.Snapshot.Version).Dur("config_age_ms", age).Msg("request refused")
}

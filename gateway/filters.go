package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/pipeline"
	"dandelionrelay/quota"
)

// Retry-After values of refusals, and the age of the configuration above which refusals
// of unknown routes and keys are temporary.
const (
	// startupRetryAfter is used until the entry has loaded the configuration and the
	// list of the other entries.
	startupRetryAfter = 300 * time.Millisecond
	// otherEntryRetryAfter is used if another entry reaches the store and may
	// serve the caller.
	otherEntryRetryAfter = 100 * time.Millisecond
	// outageRetryAfter is used while no other entry is known to reach the store:
	// outages last for seconds, and a caller makes few retries.
	outageRetryAfter = 1200 * time.Millisecond
	// maxAgeToReject is the maximum age of the configuration at which an unknown
	// route or key is rejected. With an older configuration the route or key may
	// have been added since, so the refusal is temporary.
	maxAgeToReject = 1500 * time.Millisecond
	// minRetryAfter is the minimum Retry-After sent to a caller over its rate.
	minRetryAfter = 50 * time.Millisecond
)

// StoreRetryAfter returns the Retry-After for a call that needs the store, or a recent
// configuration from it, while this entry does not reach it.
func (g *Gateway) StoreRetryAfter() time.Duration {
	if g.node.AnyPeerReachesLog() {
		return otherEntryRetryAfter
	}
	return outageRetryAfter
}

// requireConfig is a filter that refuses calls until the configuration and the list
// of the other entries, with which rate limits are shared, are loaded.
func (g *Gateway) requireConfig(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if err := g.checkConfig(c); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func (g *Gateway) checkConfig(c *pipeline.Call) *api.Error {
	if c.Snapshot.Version == 0 || !g.members.Loaded() {
		return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "this entry has just started", startupRetryAfter)
	}
	return nil
}

// resolveRoute is a filter that sets the route and the deployment of a call and
// limits its deadline to the route's timeout.
func (g *Gateway) resolveRoute(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if !findRoute(c) {
			return g.unknownRoute()
		}
		g.chooseDeployment(c)
		if end := c.Received.Add(time.Duration(c.Route.Timeout)); c.Deadline.IsZero() || end.Before(c.Deadline) {
			c.Deadline = end
		}
		return next(ctx, c)
	}
}

// chooseDeployment chooses the deployment of a call at random, by the weights of the route's
// split, and those that it tries next.
func (g *Gateway) chooseDeployment(c *pipeline.Call) {
	order := c.Route.DeploymentOrder(func(string) float64 { return g.randomUnit() })
	c.Route.Deployment, c.NextDeployments = order[0], order[1:]
}

func (g *Gateway) unknownRoute() *api.Error {
	return g.unknownError(http.StatusNotFound, api.CodeNoRoute, "no route leads there")
}

// findRoute sets the route of a call, unless it is set. It reports whether there is
// one.
func findRoute(c *pipeline.Call) bool {
	if c.Route.Provided != nil {
		return true
	}
	var ok bool
	c.RouteID, c.Route, ok = c.Snapshot.RouteByHost(hostName(c.R.Host), c.R.URL.Path)
	return ok
}

// hostName returns host in lower case, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// unknownError returns the error for a route or key that is not in the configuration.
// Unless the configuration is known to be current, the error is temporary and the
// caller may retry.
func (g *Gateway) unknownError(status int, code api.Code, message string) *api.Error {
	if age, ok := g.ConfigFeed.Age(); !ok || age > maxAgeToReject || g.ConfigFeed.LostFor() > 0 {
		return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "the configuration here may be old: "+message, g.StoreRetryAfter())
	}
	return api.NewError(status, code, message)
}

// authenticate is a filter that sets the customer of a call from its key. It refuses
// calls without a known key, unless the route is open or the configuration has no
// customers.
func (g *Gateway) authenticate(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if err := g.identifyCustomer(c); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func (g *Gateway) identifyCustomer(c *pipeline.Call) *api.Error {
	if token, ok := strings.CutPrefix(c.R.Header.Get("Authorization"), "Bearer "); ok {
		if id, key, ok := c.Snapshot.KeyByDigest(authn.Digest(strings.TrimSpace(token))); ok {
			c.KeyID, c.Customer = id, key.Customer
		}
	}
	return g.checkCustomer(c)
}

// checkCustomer returns the error for a call without a customer that needs one.
func (g *Gateway) checkCustomer(c *pipeline.Call) *api.Error {
	if c.Customer == "" && !c.Route.Open && len(c.Snapshot.State.Customers) > 0 {
		return g.unknownError(http.StatusUnauthorized, api.CodeBadKey, "the key is missing or not known")
	}
	return nil
}

// requireConfirmedKey is a filter that refuses calls with a key while the configuration
// is so old that a withdrawal of the key may already have to be in force; see
// withdrawalMargin.
func (g *Gateway) requireConfirmedKey(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if err := g.checkKeyConfirmed(c); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func (g *Gateway) checkKeyConfirmed(c *pipeline.Call) *api.Error {
	if !g.keyConfirmed(c) {
		return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "keys were not confirmed of late", g.StoreRetryAfter())
	}
	return nil
}

// requireStore is a filter that refuses calls on jobs while this entry can't read the
// index of jobs: they would fail after the timeout of a call to the store.
func (g *Gateway) requireStore(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if err := g.checkStore(); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func (g *Gateway) checkStore() *api.Error {
	if g.jobsFollower.LostFor() > 0 {
		return notRunError(http.StatusServiceUnavailable, api.CodeLogDown, "the store is out of reach", g.StoreRetryAfter())
	}
	return nil
}

// keyConfirmed reports whether the configuration, and with it the key of a call, was
// confirmed within the withdrawal bound less withdrawalMargin. It is true for calls
// without a key and if no bound is set.
func (g *Gateway) keyConfirmed(c *pipeline.Call) bool {
	bound := time.Duration(g.settings.Load().WithdrawalBound)
	if c.KeyID == "" || bound == 0 {
		return true
	}
	return g.configConfirmedWithin(bound - withdrawalMargin)
}

// configFresh reports whether a call may be sent to an endpoint as far as the age of the
// configuration goes: its key and the evacuations are confirmed.
func (g *Gateway) configFresh(c *pipeline.Call) bool {
	return g.keyConfirmed(c) && g.evacuationsConfirmed()
}

// limitRate is a filter that enforces the rate limits of customers. A call that was not
// run is refunded.
func (g *Gateway) limitRate(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		decision := g.limits.Admit(g.Clock(), c.Customer)
		if !decision.Admitted && decision.Share > 0 {
			decision.Wait = max(g.limits.QueueRefused(g.Clock(), c.Customer), minRetryAfter)
			g.rateRefused(c, decision)
		}
		if err := rateError(decision); err != nil {
			return err
		}
		err := next(ctx, c)
		if err != nil && err.Outcome == api.NotRun {
			g.limits.Refund(c.Customer)
		}
		return err
	}
}

// rateError returns the error for a call that is not admitted, or nil.
func rateError(d quota.Decision) *api.Error {
	if d.Admitted {
		return nil
	}
	if d.Share == 0 {
		return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "this entry does not know its share of the limits yet", d.Wait)
	}
	message := fmt.Sprintf("the customer's rate of %g a second with a burst of %g is used up: %.2f left, of a share of %.2f",
		d.Limit.Rate, d.Limit.Burst, d.Level, d.Share)
	return notRunError(http.StatusTooManyRequests, api.CodeRateLimited, message, max(d.Wait, minRetryAfter))
}

func notRunError(status int, code api.Code, message string, retryAfter time.Duration) *api.Error {
	return api.NewError(status, code, message).WithRetryAfter(retryAfter)
}

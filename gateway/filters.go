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
	"dandelionrelay/config"
	"dandelionrelay/pipeline"
)

// Times of refusals.
const (
	// startupRetryAfter is when a caller returns after an entry had no
	// configuration.
	startupRetryAfter = 300 * time.Millisecond
	// otherEntryRetryAfter is when a caller returns whom another entry may serve,
	// as that one reaches the store.
	otherEntryRetryAfter = 100 * time.Millisecond
	// outageRetryAfter is when a caller returns while no entry reaches the store:
	// outages last for seconds, and callers do not return often.
	outageRetryAfter = 1200 * time.Millisecond
	// maxAgeToReject is the age of a configuration up to which an unknown route or
	// key is taken for wrong rather than for news that have not come yet.
	maxAgeToReject = 1500 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller over its rate
	// is told to return.
	minRetryAfter = 50 * time.Millisecond
)

// StoreRetryAfter is when a caller returns whose call needs the store, which this
// entry does not reach.
func (g *Gateway) StoreRetryAfter() time.Duration {
	if g.node.AnyPeerReachesLog() {
		return otherEntryRetryAfter
	}
	return outageRetryAfter
}

// requireConfig returns the filter that refuses calls while there is no
// configuration, or no word of the other entries with which limits are shared.
func (g *Gateway) requireConfig(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if c.Snapshot.Version == 0 || !g.members.Loaded() {
			return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "this entry has just started", startupRetryAfter)
		}
		return next(ctx, c)
	}
}

// resolveRoute returns the filter that finds a call's route and deployment, and
// bounds its deadline.
func (g *Gateway) resolveRoute(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if !findRoute(c) {
			return g.unknownError(http.StatusNotFound, api.CodeNoRoute, "no route leads there")
		}
		c.Route.Deployment = g.pickDeployment(c.Route)
		if end := c.Received.Add(time.Duration(c.Route.Timeout)); c.Deadline.IsZero() || end.Before(c.Deadline) {
			c.Deadline = end
		}
		return next(ctx, c)
	}
}

// findRoute sets a call's route, unless it was found before.
func findRoute(c *pipeline.Call) bool {
	if c.Route.Provided != nil {
		return true
	}
	var ok bool
	c.RouteID, c.Route, ok = c.Snapshot.RouteByHost(hostName(c.R.Host), c.R.URL.Path)
	return ok
}

// hostName returns the lower-case host without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// pickDeployment chooses the pickDeployment of one request.
func (g *Gateway) pickDeployment(r config.Route) string {
	total := 0
	for _, s := range r.Provided.Split {
		total += s.Weight
	}
	if total <= 0 {
		return r.Deployment
	}
	n := g.randomN(total)
	for _, s := range r.Provided.Split {
		if n < s.Weight {
			return s.Deployment
		}
		n -= s.Weight
	}
	return r.Deployment
}

// unknownError refuses what the configuration does not know, for good only if the
// configuration is certain to be the newest.
func (g *Gateway) unknownError(status int, code api.Code, message string) *api.Error {
	if age, ok := g.ConfigFeed.Age(); !ok || age > maxAgeToReject || g.ConfigFeed.LostFor() > 0 {
		return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "the configuration here may be old: "+message, g.StoreRetryAfter())
	}
	return api.NewError(status, code, message)
}

// authenticate returns the filter that finds whose key came with a call. Routes
// that are not open need one, unless the configuration has no customers.
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
	if c.Customer == "" && !c.Route.Open && len(c.Snapshot.State.Customers) > 0 {
		return g.unknownError(http.StatusUnauthorized, api.CodeBadKey, "the key is missing or not known")
	}
	return nil
}

// requireConfirmedKey returns the filter that refuses keyed calls while the configuration is
// not certain enough for their key to be in force.
func (g *Gateway) requireConfirmedKey(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if !g.keyConfirmed(c) {
			return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "keys were not confirmed of late", g.StoreRetryAfter())
		}
		return next(ctx, c)
	}
}

// keyConfirmed reports whether a call's key is keyConfirmed to be in force, or was so
// recently that its withdrawal is not yet in force.
func (g *Gateway) keyConfirmed(c *pipeline.Call) bool {
	bound := time.Duration(g.Settings.Withdrawal)
	if c.KeyID == "" || bound == 0 {
		return true
	}
	return g.configConfirmedWithin(bound - withdrawalMargin)
}

// limitRate returns the filter that keeps customers within their rate.
func (g *Gateway) limitRate(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		v := g.limits.Admit(g.Clock(), c.Customer)
		if v.Share == 0 && !v.Admitted {
			return notRunError(http.StatusServiceUnavailable, api.CodeConfigStale, "this entry does not know its share of the limits yet", v.Wait)
		}
		if !v.Admitted {
			message := fmt.Sprintf("the customer's rate of %g a second with a burst of %g is used up: %.2f left, of a share of %.2f",
				v.Limit.Rate, v.Limit.Burst, v.Level, v.Share)
			return notRunError(http.StatusTooManyRequests, api.CodeRateLimited, message, max(v.Wait, minRetryAfter))
		}
		err := next(ctx, c)
		if err != nil && err.Outcome == api.NotRun {
			g.limits.Refund(c.Customer)
		}
		return err
	}
}

func notRunError(status int, code api.Code, message string, retryAfter time.Duration) *api.Error {
	return api.NewError(status, code, message).WithRetryAfter(retryAfter)
}

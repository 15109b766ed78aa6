package authn

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/pipeline"
)

// staleRetryAfter is when a caller comes back that was refused as the entry
// had not heard of withdrawals for too long.
const staleRetryAfter = 5 * time.Second

// Authorizer decides who may use a route, and keeps watch over the key while a
// call runs.
type Authorizer struct {
	Source      config.Source
	ActiveCalls *ActiveCalls
	Invariants  *invariant.Set

	// MaxStaleness is the time without word from the log, directly or
	// through peers, after which routes that need a key are refused. 0 means
	// never: the entry keeps serving with the keys it knows.
	MaxStaleness time.Duration
	// Staleness returns the time without word from the log. It may be nil
	// if MaxStaleness is 0.
	Staleness func(now time.Time) time.Duration
}

// Authorize returns the filter that refuses calls without a valid key on
// routes that need one, and calls of customers that may not use the route. It
// stops a call when its key is withdrawn.
func (g *Authorizer) Authorize() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if err := g.authorize(c); err != nil {
				return err
			}
			if c.KeyID == "" {
				return next(ctx, c)
			}
			return g.watch(ctx, c, next)
		}
	}
}

func (g *Authorizer) authorize(c *pipeline.Call) *api.Error {
	if c.Route.Open {
		return nil
	}
	if c.KeyID == "" {
		return keyError(c)
	}
	if len(c.Route.Customers) > 0 && !slices.Contains(c.Route.Customers, c.Customer) {
		return api.NewError(http.StatusForbidden, api.CodeForbidden,
			"customer "+c.Customer+" may not use route "+c.RouteID)
	}
	if g.MaxStaleness > 0 && g.Staleness(time.Now()) > g.MaxStaleness {
		return api.NewError(http.StatusServiceUnavailable, api.CodeConfigStale,
			"this entry has not heard for too long which keys are withdrawn").WithRetryAfter(staleRetryAfter)
	}
	return nil
}

// watch runs the call and stops it when its key is withdrawn.
func (g *Authorizer) watch(ctx context.Context, c *pipeline.Call, next pipeline.Handler) *api.Error {
	key := c.Snapshot.State.Keys[c.KeyID]
	g.Invariants.Check(c.Customer == key.Customer, invariant.CustomerOfKey,
		"call %s runs for customer %s with a key of %s", c.ID, c.Customer, key.Customer)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := g.ActiveCalls.add(c.KeyID, key, cancel)
	defer func() { g.ActiveCalls.remove(call, time.Now()) }()
	// A withdrawal after the key was looked up but before the call was
	// registered was not seen by Sweep.
	if !valid(g.Source.Current(), c.KeyID, key) {
		return withdrawnError(c, api.NotRun)
	}
	err := next(ctx, c)
	if err != nil && errors.Is(context.Cause(ctx), errWithdrawn) {
		return withdrawnError(c, err.Outcome)
	}
	return err
}

// withdrawnError answers a call whose key was withdrawn while it ran. The
// connection is closed with it; if a part of the answer was sent already, the
// front aborts the connection.
func withdrawnError(c *pipeline.Call, outcome api.Outcome) *api.Error {
	closeConnection(c)
	err := *errWithdrawn
	return err.WithOutcome(outcome)
}

// keyError says what is wrong with a call that has no valid key.
func keyError(c *pipeline.Call) *api.Error {
	if len(Credentials(c.R.Header)) == 0 {
		return api.NewError(http.StatusUnauthorized, api.CodeNoKey,
			"this route needs a key: send the header Authorization: Bearer KEY")
	}
	closeConnection(c)
	return api.NewError(http.StatusUnauthorized, api.CodeBadKey, "the key is unknown or withdrawn")
}

// closeConnection makes the server close the caller's connection after the
// answer.
func closeConnection(c *pipeline.Call) {
	if !c.ResponseStarted {
		c.W.Header().Set("Connection", "close")
	}
}

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

// staleConfigRetryAfter is the Retry-After of calls rejected because the entry
// has had no contact with the log, directly or through peers, for longer than
// MaxStaleness, and so may not know which keys were withdrawn.
const staleConfigRetryAfter = 5 * time.Second

// Authorizer decides which callers may use a route, and cancels running calls
// whose key is withdrawn.
type Authorizer struct {
	Source      config.Source
	ActiveCalls *ActiveCalls
	Invariants  *invariant.Set

	// MaxStaleness is the time without contact with the log, directly or
	// through peers, after which routes that need a key are refused. 0, or no
	// function, means no limit: the entry keeps serving with the keys it knows.
	MaxStaleness func() time.Duration
	// Staleness returns the time since the last contact with the log, directly
	// or through peers. It may be nil if there is no limit.
	Staleness func(now time.Time) time.Duration
}

// Authorize returns the filter that rejects calls without a valid key on
// routes that need one, and calls of customers that may not use the route. It
// cancels a call when its key is withdrawn.
func (a *Authorizer) Authorize() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if err := a.authorize(c); err != nil {
				return err
			}
			if c.KeyID == "" {
				return next(ctx, c)
			}
			return a.serveWithKey(ctx, c, next)
		}
	}
}

func (a *Authorizer) authorize(c *pipeline.Call) *api.Error {
	if c.Route.Open {
		return nil
	}
	if c.KeyID == "" {
		return missingKeyError(c)
	}
	if len(c.Route.Customers) > 0 && !slices.Contains(c.Route.Customers, c.Customer) {
		return api.NewError(http.StatusForbidden, api.CodeForbidden,
			"customer "+c.Customer+" may not use route "+c.RouteID)
	}
	if a.stale() {
		return api.NewError(http.StatusServiceUnavailable, api.CodeConfigStale,
			"this entry has not heard for too long which keys are withdrawn").WithRetryAfter(staleConfigRetryAfter)
	}
	return nil
}

// stale reports whether the last contact with the log is longer ago than MaxStaleness.
func (a *Authorizer) stale() bool {
	if a.MaxStaleness == nil {
		return false
	}
	limit := a.MaxStaleness()
	return limit > 0 && a.Staleness(time.Now()) > limit
}

// serveWithKey registers the call as active, so that it is cancelled when its
// key is withdrawn, and runs it.
func (a *Authorizer) serveWithKey(ctx context.Context, c *pipeline.Call, next pipeline.Handler) *api.Error {
	key := c.Snapshot.State.Keys[c.KeyID]
	a.Invariants.Check(c.Customer == key.Customer, invariant.CustomerOfKey,
		"call %s runs for customer %s with a key of customer %s", c.ID, c.Customer, key.Customer)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := a.ActiveCalls.add(c.KeyID, key, cancel)
	defer func() { a.ActiveCalls.remove(call, time.Now()) }()
	// CancelInvalid misses a call whose key was withdrawn after the lookup but
	// before the call was registered.
	if !keyUnchanged(a.Source.Current(), c.KeyID, key) {
		return withdrawnError(c, api.NotRun)
	}
	err := next(ctx, c)
	if err != nil && errors.Is(context.Cause(ctx), errWithdrawn) {
		return withdrawnError(c, err.Outcome)
	}
	return err
}

// withdrawnError returns the error for a call whose key was withdrawn after
// Identify looked it up. The connection is closed after the response; if a part
// of the response was sent already, front.Handler aborts the connection.
func withdrawnError(c *pipeline.Call, outcome api.Outcome) *api.Error {
	closeConnection(c)
	err := *errWithdrawn
	return err.WithOutcome(outcome)
}

// missingKeyError returns the error for a call without a valid key: its key is
// missing, unknown or withdrawn. If it is unknown or withdrawn, the connection is
// closed after the response.
func missingKeyError(c *pipeline.Call) *api.Error {
	if len(Credentials(c.R.Header)) == 0 {
		return api.NewError(http.StatusUnauthorized, api.CodeNoKey,
			"this route needs a key: send the header Authorization: Bearer KEY")
	}
	closeConnection(c)
	return api.NewError(http.StatusUnauthorized, api.CodeBadKey, "the key is unknown or withdrawn")
}

// closeConnection makes the server close the caller's connection after the
// response.
func closeConnection(c *pipeline.Call) {
	if !c.ResponseStarted {
		c.W.Header().Set("Connection", "close")
	}
}

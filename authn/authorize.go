package authn

import (
	"context"
	"net/http"
	"slices"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/pipeline"
)

// Authorize returns the filter that refuses calls without a valid key on
// routes that need one, and calls of customers that may not use the route.
func Authorize(source config.Source, checks *invariant.Set) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if err := authorize(c); err != nil {
				return err
			}
			if c.KeyID == "" {
				return next(ctx, c)
			}
			owner := c.Snapshot.State.Keys[c.KeyID].Customer
			checks.Check(c.Customer == owner, invariant.CustomerOfKey,
				"call %s runs for customer %s with a key of %s", c.ID, c.Customer, owner)
			return next(ctx, c)
		}
	}
}

func authorize(c *pipeline.Call) *api.Error {
	if c.Route.Open {
		return nil
	}
	if c.KeyID == "" {
		return keyError(c.R.Header)
	}
	if len(c.Route.Customers) > 0 && !slices.Contains(c.Route.Customers, c.Customer) {
		return api.NewError(http.StatusForbidden, api.CodeForbidden,
			"customer "+c.Customer+" may not use route "+c.RouteID)
	}
	return nil
}

// keyError says what is wrong with a call that has no valid key.
func keyError(h http.Header) *api.Error {
	if len(Credentials(h)) == 0 {
		return api.NewError(http.StatusUnauthorized, api.CodeNoKey,
			"this route needs a key: send the header Authorization: Bearer KEY")
	}
	return api.NewError(http.StatusUnauthorized, api.CodeBadKey, "the key is unknown or withdrawn")
}

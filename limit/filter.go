package limit

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Filter returns the filter that admits calls within their customer's rate and
// burst and refuses the others instead of queueing them. Calls without a customer
// pass.
func Filter(s *Service) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if err := s.admitCall(ctx, c); err != nil {
				return err
			}
			return next(ctx, c)
		}
	}
}

func (s *Service) admitCall(ctx context.Context, c *pipeline.Call) *api.Error {
	if c.Customer == "" {
		return nil
	}
	customer, ok := c.Snapshot.State.Customers[c.Customer]
	if !ok {
		return api.NewError(http.StatusForbidden, api.CodeForbidden, "the customer of this key does not exist")
	}
	admitted, wait, unavailable := s.Admit(ctx, c.Customer, Limits{Rate: customer.Rate, Burst: customer.Burst})
	switch {
	case admitted:
		return nil
	case unavailable:
		e := api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "the customer's rate can't be checked now")
		return e.WithRetryAfter(wait)
	default:
		e := api.NewError(http.StatusTooManyRequests, api.CodeRateLimited, "the customer's rate and burst are used up")
		return e.WithRetryAfter(wait)
	}
}

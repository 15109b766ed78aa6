package quarantine

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Filter returns the filter that refuses quarantined requests.
func Filter(s Tracker) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if !s.Empty() && s.Verdict(DigestOfCall(c), c.Customer) == Quarantined {
				return Refusal()
			}
			return next(ctx, c)
		}
	}
}

// Refusal is the final answer to a quarantined request.
func Refusal() *api.Error {
	return api.NewError(http.StatusUnprocessableEntity, api.CodeQuarantined,
		"endpoints crashed running this request; it is not run again")
}

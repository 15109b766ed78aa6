package quarantine

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Filter returns a filter that rejects the requests that t has quarantined.
func Filter(t Tracker) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if !t.Empty() && t.Verdict(DigestOfCall(c), c.Customer) == Quarantined {
				return Refusal()
			}
			return next(ctx, c)
		}
	}
}

// Refusal returns the error for a quarantined request, which the caller should
// not retry.
func Refusal() *api.Error {
	return api.NewError(http.StatusUnprocessableEntity, api.CodeQuarantined,
		"endpoints crashed running this request; it is not run again")
}

package quarantine

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Filter returns a filter that rejects the requests that t has quarantined, and those with
// a part of the prompt that it has quarantined.
func Filter(t Tracker) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if Blocked(t, c) {
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
		"endpoints crashed running this request or others with a part of its prompt; it is not sent to another")
}

package quarantine

import (
	"context"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// heldRetryAfter is the Retry-After of a request that is held. Endpoints that have not crashed
// register again within about that time.
const heldRetryAfter = 1500 * time.Millisecond

// Filter returns a filter that rejects the requests that t has quarantined, and those with
// a part of the prompt that it has quarantined. It refuses those that t holds, as not run.
func Filter(t Tracker) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			switch VerdictOnCall(t, c) {
			case Quarantined:
				return Refusal()
			case Held:
				return heldRefusal()
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

// heldRefusal returns the error for a request that is held, which the caller may retry.
func heldRefusal() *api.Error {
	return api.NewError(http.StatusServiceUnavailable, api.CodeHeld,
		"endpoints fell silent running this request; it is not known yet whether they crashed").WithRetryAfter(heldRetryAfter)
}

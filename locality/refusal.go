package locality

import (
	"net/http"
	"time"

	"dandelionrelay/api"
)

// RetryAfter is the Retry-After of calls that are refused because of an evacuation, which
// lasts longer than the failure of an endpoint.
const RetryAfter = 5 * time.Second

// RefusalError returns the error for a call that may run in no data centre, by the reason,
// which is Evacuated or OutsideHomes. The call has not run.
func RefusalError(reason Verdict, retryAfter time.Duration) *api.Error {
	code, message := api.CodeOutsideHomes, "no endpoint is in a region in which the route and the customer may be served"
	if reason == Evacuated {
		code, message = api.CodeEvacuated, "all data centres that may serve the request are evacuated"
	}
	return api.NewError(http.StatusServiceUnavailable, code, message).WithRetryAfter(retryAfter)
}

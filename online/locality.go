package online

import (
	"time"

	"dandelionrelay/api"
	"dandelionrelay/locality"
)

// LocalityError returns the error for a request for which no data centre is left, by the
// reason, which is Evacuated or OutsideHomes.
func LocalityError(reason locality.Verdict, retryAfter time.Duration) *api.Error {
	if reason == locality.Evacuated {
		return notRunError(api.CodeEvacuated, "all data centres that may serve the request are evacuated", retryAfter)
	}
	return notRunError(api.CodeOutsideHomes, "no endpoint is in a region in which the route and the customer may be served", retryAfter)
}

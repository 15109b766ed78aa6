package online

import (
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
)

// MaxWait returns how long a request of a route may wait for its start.
func MaxWait(r *config.ProvidedRoute) time.Duration {
	return time.Duration(maxWaitShare * float64(r.Goal))
}

// RefusalError returns the error for a request that was refused before it was sent to an
// endpoint. versionGone reports whether it takes up a stream that no endpoint can continue.
func RefusalError(r *placement.Refusal, versionGone func() bool) *api.Error {
	switch {
	case r.Locality != locality.Allowed:
		return locality.RefusalError(r.Locality, r.RetryAfter)
	case versionGone():
		return notRunError(api.CodeVersionGone, "no endpoint of the version that began the stream is left", 0)
	case r.Limited:
		return notRunError(api.CodeOverloaded, "the endpoints take no more requests yet", r.RetryAfter)
	case r.Cold:
		return notRunError(api.CodeOverloaded, "the endpoints that are left are cold and take no more requests yet", r.RetryAfter)
	case r.Endpoint == "":
		return notRunError(api.CodeNoEndpoint, "no endpoint of the deployment takes requests", r.RetryAfter)
	}
	return notRunError(api.CodeOverloaded, "no endpoint can begin the request in time", r.RetryAfter)
}

// ConfigStaleError returns the error for a request whose configuration is no longer
// confirmed.
func ConfigStaleError() *api.Error {
	return notRunError(api.CodeConfigStale, "the configuration was not confirmed recently enough", notRunRetryAfter)
}

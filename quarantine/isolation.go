package quarantine

import (
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// isolationDivisor determines the isolation endpoints of a deployment: one in
// isolationDivisor of its live endpoints, rounded up.
const isolationDivisor = 4

// IsolationEndpoints returns the endpoints of one deployment at which suspects
// run. Callers with the same list of endpoints get the same result, which is
// not empty if any endpoint is live.
func IsolationEndpoints(endpoints []infra.Instance) []infra.Instance {
	live := make([]infra.Instance, 0, len(endpoints))
	for _, i := range endpoints {
		if i.State == infra.Live {
			live = append(live, i)
		}
	}
	n := (len(live) + isolationDivisor - 1) / isolationDivisor
	return membership.Rank("isolation", live)[:n]
}

// IsIsolationEndpoint reports whether suspects may run at the endpoint with the
// given ID.
func IsIsolationEndpoint(endpoints []infra.Instance, id string) bool {
	for _, i := range IsolationEndpoints(endpoints) {
		if i.ID == id {
			return true
		}
	}
	return false
}

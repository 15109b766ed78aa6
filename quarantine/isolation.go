package quarantine

import (
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// isolationShare is the inverse of the fraction of a deployment's endpoints at
// which suspects may run, each of them alone: 4 stands for a quarter.
const isolationShare = 4

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
	n := (len(live) + isolationShare - 1) / isolationShare
	return membership.Rank("isolation", live)[:n]
}

// IsIsolationEndpoint reports whether suspects may run at the endpoint with the
// given id.
func IsIsolationEndpoint(endpoints []infra.Instance, id string) bool {
	for _, i := range IsolationEndpoints(endpoints) {
		if i.ID == id {
			return true
		}
	}
	return false
}

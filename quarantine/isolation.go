package quarantine

import (
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// isolationShare is the inverse of the share of a deployment's endpoints that
// suspects may occupy, each of them alone.
const isolationShare = 4

// IsolationEndpoints returns the endpoints of one deployment at which suspects run: the
// same ones for all that see the same list. There is at least one if there is
// any endpoint.
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

// IsIsolationEndpoint says whether suspects may run at the endpoint with that id.
func IsIsolationEndpoint(endpoints []infra.Instance, id string) bool {
	for _, i := range IsolationEndpoints(endpoints) {
		if i.ID == id {
			return true
		}
	}
	return false
}

package dispatch

import (
	"sync"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// subsets caches this entry's subset of each deployment until the members
// change.
type subsets struct {
	self         string
	dataCentre   string
	byDeployment sync.Map // deployment -> *cachedSubset
}

type cachedSubset struct {
	endpoints []infra.Instance
	entries   []infra.Instance
	subset    membership.Subset
}

// get returns the subset of a deployment. As the slices of members are
// immutable, a cached subset is valid while they are the same slices.
func (s *subsets) get(deployment string, members membership.Members) membership.Subset {
	endpoints, entries := members.Endpoints(deployment), members.Entries()
	if v, ok := s.byDeployment.Load(deployment); ok {
		c := v.(*cachedSubset)
		if sameSlice(c.endpoints, endpoints) && sameSlice(c.entries, entries) {
			return c.subset
		}
	}
	subset := membership.NewSubset(s.self, s.dataCentre, s.countLocalEntries(entries), endpoints)
	s.byDeployment.Store(deployment, &cachedSubset{endpoints: endpoints, entries: entries, subset: subset})
	return subset
}

// countLocalEntries counts the live entries in this entry's data centre.
func (s *subsets) countLocalEntries(entries []infra.Instance) int {
	n := 0
	for _, e := range entries {
		if e.DataCentre == s.dataCentre && e.State == infra.Live {
			n++
		}
	}
	return n
}

// sameSlice reports whether a and b are the same slice, not only equal ones.
func sameSlice(a, b []infra.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

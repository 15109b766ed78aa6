package dispatch

import (
	"sync"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// subsets keeps this entry's subset of each deployment until the members
// change.
type subsets struct {
	self       string
	dataCentre string
	m          sync.Map // deployment -> *cachedSubset
}

type cachedSubset struct {
	endpoints []infra.Instance
	entries   []infra.Instance
	subset    membership.Subset
}

// of returns the subset of a deployment. The slices of members are immutable.
func (s *subsets) of(deployment string, members membership.Members) membership.Subset {
	endpoints, entries := members.Endpoints(deployment), members.Entries()
	if v, ok := s.m.Load(deployment); ok {
		c := v.(*cachedSubset)
		if same(c.endpoints, endpoints) && same(c.entries, entries) {
			return c.subset
		}
	}
	subset := membership.NewSubset(s.self, s.dataCentre, s.local(entries), endpoints)
	s.m.Store(deployment, &cachedSubset{endpoints: endpoints, entries: entries, subset: subset})
	return subset
}

// local counts the entries in the data centre of this one.
func (s *subsets) local(entries []infra.Instance) int {
	n := 0
	for _, e := range entries {
		if e.DataCentre == s.dataCentre && e.State == infra.Live {
			n++
		}
	}
	return n
}

// same says that a and b are one slice.
func same(a, b []infra.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

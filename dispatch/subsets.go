package dispatch

import (
	"sync"

	"dandelionrelay/membership"
	"dandelionrelay/platform"
)

// subsets keeps this entry's subset of each deployment until the members
// change.
type subsets struct {
	self       string
	dataCentre string
	m          sync.Map // deployment -> *cachedSubset
}

type cachedSubset struct {
	of     []platform.Instance
	subset membership.Subset
}

// of returns the subset of a deployment's endpoints, an immutable slice.
func (s *subsets) of(deployment string, endpoints []platform.Instance) membership.Subset {
	if v, ok := s.m.Load(deployment); ok && same(v.(*cachedSubset).of, endpoints) {
		return v.(*cachedSubset).subset
	}
	subset := membership.NewSubset(s.self, s.dataCentre, endpoints)
	s.m.Store(deployment, &cachedSubset{of: endpoints, subset: subset})
	return subset
}

// same says that a and b are one slice.
func same(a, b []platform.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

package membership

import "dandelionrelay/infra"

// Sizes of an entry's subset of the endpoints of a deployment.
const (
	// MinLocalEndpoints is the least number in the entry's own data centre.
	MinLocalEndpoints = 16
	// RemoteEndpointsPerDataCentre is the number in each other data centre.
	RemoteEndpointsPerDataCentre = 4
	// EntriesPerEndpoint is how many entries of its data centre an endpoint has on
	// average: with few entries their subsets are larger, as otherwise some
	// endpoints would be chosen far more often than others.
	EntriesPerEndpoint = 16
)

// Subset is the part of a deployment's endpoints that one entry works with.
type Subset struct {
	Local  []infra.Instance // in the entry's own data centre
	Remote []infra.Instance
}

// Len returns the number of endpoints.
func (s Subset) Len() int { return len(s.Local) + len(s.Remote) }

// NewSubset chooses the endpoints of the entry self, one of some entries in its
// data centre, for a deployment, by rendezvous hashing: entries choose evenly, and the choice changes by one
// endpoint when one comes or goes. Every data centre is represented, so that
// the loss of one leaves the others.
func NewSubset(self, dataCentre string, entries int, endpoints []infra.Instance) Subset {
	var s Subset
	size := localSize(dataCentre, entries, endpoints)
	remote := make(map[string]int)
	for _, e := range Rank(self, endpoints) {
		if e.State == infra.Leaving {
			continue
		}
		if e.DataCentre == dataCentre {
			if len(s.Local) < size {
				s.Local = append(s.Local, e)
			}
			continue
		}
		if remote[e.DataCentre] < RemoteEndpointsPerDataCentre {
			remote[e.DataCentre]++
			s.Remote = append(s.Remote, e)
		}
	}
	return s
}

// localSize is how many endpoints of its own data centre an entry takes.
func localSize(dataCentre string, entries int, endpoints []infra.Instance) int {
	local := 0
	for _, e := range endpoints {
		if e.DataCentre == dataCentre {
			local++
		}
	}
	return max(MinLocalEndpoints, EntriesPerEndpoint*local/max(1, entries))
}

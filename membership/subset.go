package membership

import "dandelionrelay/infra"

// Bounds on the subset of a deployment's endpoints that an entry uses.
const (
	// MinLocalEndpoints is the minimum size of the subset in the entry's own data
	// centre, if there are as many endpoints.
	MinLocalEndpoints = 16
	// RemoteEndpointsPerDataCentre is the maximum number of endpoints in each other
	// data centre.
	RemoteEndpointsPerDataCentre = 4
	// EntriesPerEndpoint: the average number of entries of its data centre that use
	// an endpoint is at least this, but for rounding, if the data centre has as many
	// entries; with fewer, each entry uses all its endpoints. With few entries it
	// makes their subsets larger, as some endpoints would otherwise be chosen far
	// more often than others.
	EntriesPerEndpoint = 16
)

// Subset is the part of a deployment's endpoints that one entry uses.
type Subset struct {
	Local  []infra.Instance // in the entry's own data centre
	Remote []infra.Instance // in other data centres
}

// Len returns the number of endpoints in s.
func (s Subset) Len() int { return len(s.Local) + len(s.Remote) }

// NewSubset chooses from a deployment's endpoints the subset of the entry self.
// entries is the number of entries in its data centre, dataCentre. It uses rendezvous
// hashing: endpoints are chosen evenly over the entries, and adding or removing an
// endpoint changes at most one endpoint of the subset while localSize stays the same.
// Leaving endpoints are not chosen. Every data centre with endpoints is represented,
// so that the subset survives the loss of a data centre.
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

// localSize returns the maximum number of endpoints that an entry chooses in its own
// data centre.
func localSize(dataCentre string, entries int, endpoints []infra.Instance) int {
	local := 0
	for _, e := range endpoints {
		if e.DataCentre == dataCentre {
			local++
		}
	}
	return max(MinLocalEndpoints, EntriesPerEndpoint*local/max(1, entries))
}

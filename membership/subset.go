package membership

import "dandelionrelay/platform"

// Sizes of an entry's subset of the endpoints of a deployment.
const (
	LocalEndpoints  = 16 // in the entry's own data centre
	RemoteEndpoints = 4  // in each other data centre
)

// Subset is the part of a deployment's endpoints that one entry works with.
type Subset struct {
	Local  []platform.Instance // in the entry's own data centre
	Remote []platform.Instance
}

// Len returns the number of endpoints.
func (s Subset) Len() int { return len(s.Local) + len(s.Remote) }

// NewSubset chooses the endpoints of the entry self for a deployment, by
// rendezvous hashing: entries choose evenly, and the choice changes by one
// endpoint when one comes or goes. Every data centre is represented, so that
// the loss of one leaves the others.
func NewSubset(self, dataCentre string, endpoints []platform.Instance) Subset {
	var s Subset
	remote := make(map[string]int)
	for _, e := range Rank(self, endpoints) {
		if e.State == platform.Leaving {
			continue
		}
		if e.DataCentre == dataCentre {
			if len(s.Local) < LocalEndpoints {
				s.Local = append(s.Local, e)
			}
			continue
		}
		if remote[e.DataCentre] < RemoteEndpoints {
			remote[e.DataCentre]++
			s.Remote = append(s.Remote, e)
		}
	}
	return s
}

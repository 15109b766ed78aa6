package dispatch

import (
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Weights of a pick.
const (
	// sampleLocal and sampleRemote are how many endpoints are compared.
	sampleLocal  = 3
	sampleRemote = 1
	// RemoteLatency is the time that a call to another data centre takes longer.
	RemoteLatency = 2 * time.Millisecond
	// inFlightCost is what each request in flight adds to the start of the
	// next at an endpoint with free slots.
	inFlightCost = 500 * time.Microsecond
	// suspectCost is what each suspect in flight adds to the start of the next.
	suspectCost = 5 * time.Second
	// affineBound and affineSlack limit what the endpoint that holds a prefix
	// may have in flight, against the best of the sample.
	affineBound = 1.25
	affineSlack = 2
)

// Rand is the random source of a pick.
type Rand interface{ IntN(n int) int }

// Query describes one pick.
type Query struct {
	Now     time.Time
	Subset  membership.Subset
	Slots   int      // requests that one endpoint runs at once; 0: unknown
	Suspect bool     // the request waits for other suspects
	Exclude []string // ids of endpoints that were tried
	// PrefixEndpoint is the endpoint that holds a prefix of the prompt, if any, and
	// Saving the time that it saves there.
	PrefixEndpoint string
	PrefixSaving   time.Duration
	// Usable says whether an endpoint may get new work.
	Usable func(id string) bool
}

// Picker chooses an endpoint for a request: the one with the least estimated
// wait among a small random sample. It is passive.
type Picker struct{ loads *Loads }

// NewPicker returns a Picker that compares by loads.
func NewPicker(loads *Loads) *Picker { return &Picker{loads: loads} }

// choice is the best endpoint so far.
type choice struct {
	instance infra.Instance
	cost     time.Duration
	inFlight int
	found    bool
}

// Pick returns an endpoint, or false if none may get the request.
func (p *Picker) Pick(q *Query, rnd Rand) (infra.Instance, bool) {
	var best choice
	p.sample(q, rnd, q.Subset.Local, sampleLocal, 0, &best)
	p.sample(q, rnd, q.Subset.Remote, sampleRemote, RemoteLatency, &best)
	p.affine(q, &best)
	if !best.found {
		p.any(q, rnd, q.Subset.Local, 0, &best)
	}
	if !best.found {
		p.any(q, rnd, q.Subset.Remote, RemoteLatency, &best)
	}
	return best.instance, best.found
}

// sample compares up to n random endpoints of list.
func (p *Picker) sample(q *Query, rnd Rand, list []infra.Instance, n int, distance time.Duration, best *choice) {
	if len(list) == 0 {
		return
	}
	from := rnd.IntN(len(list))
	if len(list) <= n {
		for i := range list {
			p.consider(q, &list[(from+i)%len(list)], distance, best)
		}
		return
	}
	p.consider(q, &list[from], distance, best)
	for range n - 1 {
		p.consider(q, &list[rnd.IntN(len(list))], distance, best)
	}
}

// any takes the first endpoint that may be used.
func (p *Picker) any(q *Query, rnd Rand, list []infra.Instance, distance time.Duration, best *choice) {
	if len(list) == 0 {
		return
	}
	from := rnd.IntN(len(list))
	for i := range list {
		p.consider(q, &list[(from+i)%len(list)], distance, best)
		if best.found {
			return
		}
	}
}

// affine prefers the endpoint that holds a prefix, unless it has much more in
// flight than the best of the sample or its wait outweighs the saving.
func (p *Picker) affine(q *Query, best *choice) {
	if q.PrefixEndpoint == "" {
		return
	}
	var held choice
	if !p.find(q, q.Subset.Local, 0, &held) {
		p.find(q, q.Subset.Remote, RemoteLatency, &held)
	}
	if !held.found {
		return
	}
	bound := affineSlack + int(affineBound*float64(best.inFlight))
	if !best.found || held.inFlight <= bound && held.cost-q.PrefixSaving < best.cost {
		*best = held
	}
}

// find looks the affine endpoint up in list.
func (p *Picker) find(q *Query, list []infra.Instance, distance time.Duration, held *choice) bool {
	for i := range list {
		if list[i].ID == q.PrefixEndpoint {
			p.consider(q, &list[i], distance, held)
			return true
		}
	}
	return false
}

// consider makes i the best choice if it may be used and costs less.
func (p *Picker) consider(q *Query, i *infra.Instance, extra time.Duration, best *choice) {
	if i.State == infra.Leaving || slices.Contains(q.Exclude, i.ID) || !q.Usable(i.ID) {
		return
	}
	l := p.loads.look(i.ID, q.Slots, q.Now)
	cost := l.cost + extra
	if q.Suspect {
		cost += time.Duration(l.suspects) * suspectCost
	}
	if !best.found || cost < best.cost {
		*best = choice{instance: *i, cost: cost, inFlight: l.inFlight, found: true}
	}
}

package dispatch

import (
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Parameters of the choice of an endpoint.
const (
	// localSampleSize and remoteSampleSize are the numbers of endpoints that
	// are compared, in the entry's own and in other data centres.
	localSampleSize  = 3
	remoteSampleSize = 1
	// RemoteLatency is the latency that a call to another data centre adds.
	RemoteLatency = 2 * time.Millisecond
	// inFlightCost is the estimated delay that each request in flight adds to
	// the start of the next one at an endpoint with free slots.
	inFlightCost = 500 * time.Microsecond
	// suspectCost is the estimated delay that each suspect request in flight
	// adds to the start of the next suspect, as suspects run one at a time.
	suspectCost = 5 * time.Second
	// prefixLoadFactor and prefixLoadSlack bound the requests in flight at the
	// endpoint that caches a prefix for it to be picked: they are at most
	// prefixLoadFactor times those of the best endpoint sampled, plus
	// prefixLoadSlack.
	prefixLoadFactor = 1.25
	prefixLoadSlack  = 2
)

// Rand is the random source of a Picker.
type Rand interface{ IntN(n int) int }

// Query holds the inputs of one Pick.
type Query struct {
	Now     time.Time
	Subset  membership.Subset
	Slots   int      // requests that one endpoint runs concurrently; 0 if unknown
	Suspect bool     // the request may have crashed an endpoint, so it waits for other suspects there
	Exclude []string // IDs of endpoints at which an attempt failed
	// Resume is the position from which the response is to go on; nil: from the start.
	// Endpoints of another version are passed over.
	Resume *api.Resume
	// PrefixEndpoint is the ID of the endpoint that probably caches a prefix of
	// the prompt, or empty. PrefixSaving is the prefill time saved there.
	PrefixEndpoint string
	PrefixSaving   time.Duration
	// Usable reports whether an endpoint may get new requests.
	Usable func(id string) bool
}

// Picker chooses the endpoint with the lowest estimated delay among a small
// random sample. It does no I/O and is safe for concurrent use.
type Picker struct{ loads *Loads }

// NewPicker returns a Picker that compares endpoints by loads.
func NewPicker(loads *Loads) *Picker { return &Picker{loads: loads} }

// candidate is the best endpoint found so far.
type candidate struct {
	instance infra.Instance
	cost     time.Duration
	inFlight int
	found    bool
}

// Pick returns an endpoint, or false if no endpoint may get the request.
func (p *Picker) Pick(q *Query, rnd Rand) (infra.Instance, bool) {
	var best candidate
	p.sample(q, rnd, q.Subset.Local, localSampleSize, 0, &best)
	p.sample(q, rnd, q.Subset.Remote, remoteSampleSize, RemoteLatency, &best)
	p.considerPrefixEndpoint(q, &best)
	if !best.found {
		p.firstUsable(q, rnd, q.Subset.Local, 0, &best)
	}
	if !best.found {
		p.firstUsable(q, rnd, q.Subset.Remote, RemoteLatency, &best)
	}
	return best.instance, best.found
}

// sample considers up to n random endpoints of list.
func (p *Picker) sample(q *Query, rnd Rand, list []infra.Instance, n int, latency time.Duration, best *candidate) {
	if len(list) == 0 {
		return
	}
	from := rnd.IntN(len(list))
	if len(list) <= n {
		for i := range list {
			p.consider(q, &list[(from+i)%len(list)], latency, best)
		}
		return
	}
	p.consider(q, &list[from], latency, best)
	for range n - 1 {
		p.consider(q, &list[rnd.IntN(len(list))], latency, best)
	}
}

// firstUsable considers the endpoints of list in turn, from a random one on,
// until one may get the request.
func (p *Picker) firstUsable(q *Query, rnd Rand, list []infra.Instance, latency time.Duration, best *candidate) {
	if len(list) == 0 {
		return
	}
	from := rnd.IntN(len(list))
	for i := range list {
		p.consider(q, &list[(from+i)%len(list)], latency, best)
		if best.found {
			return
		}
	}
}

// considerPrefixEndpoint replaces the best candidate by the endpoint that caches
// a prefix, unless that endpoint has many more requests in flight than the best
// candidate (see prefixLoadFactor) or its cost less the saving is not below the
// best candidate's cost.
func (p *Picker) considerPrefixEndpoint(q *Query, best *candidate) {
	if q.PrefixEndpoint == "" {
		return
	}
	var preferred candidate
	if !p.findPrefixEndpoint(q, q.Subset.Local, 0, &preferred) {
		p.findPrefixEndpoint(q, q.Subset.Remote, RemoteLatency, &preferred)
	}
	if !preferred.found {
		return
	}
	bound := prefixLoadSlack + int(prefixLoadFactor*float64(best.inFlight))
	if !best.found || preferred.inFlight <= bound && preferred.cost-q.PrefixSaving < best.cost {
		*best = preferred
	}
}

// findPrefixEndpoint considers q.PrefixEndpoint if it is in list, and reports
// whether it is.
func (p *Picker) findPrefixEndpoint(q *Query, list []infra.Instance, latency time.Duration, best *candidate) bool {
	for i := range list {
		if list[i].ID == q.PrefixEndpoint {
			p.consider(q, &list[i], latency, best)
			return true
		}
	}
	return false
}

// consider makes i the best candidate if it may get the request and its cost, with
// latency added, is lower.
func (p *Picker) consider(q *Query, i *infra.Instance, latency time.Duration, best *candidate) {
	if i.State == infra.Leaving || slices.Contains(q.Exclude, i.ID) || !q.Usable(i.ID) {
		return
	}
	if q.Resume != nil && p.loads.HasOtherVersion(i.ID, q.Resume.Version) {
		return
	}
	l := p.loads.snapshot(i.ID, q.Slots, q.Now)
	cost := l.cost + latency
	if q.Suspect {
		cost += time.Duration(l.suspects) * suspectCost
	}
	if !best.found || cost < best.cost {
		*best = candidate{instance: *i, cost: cost, inFlight: l.inFlight, found: true}
	}
}

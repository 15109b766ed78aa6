package placement

// Endpoints that answer with failures of their own are quick, so they have free
// slots most of the time and would draw the most requests. They are passed over
// while most of their answers fail. The entries that saw it tell the others; the
// first of them by name tries again now and then, with one request that may be
// repeated.
const (
	// failureWeight is the weight of a new answer in an endpoint's share of
	// failures.
	failureWeight = 0.3
	// erringFrom is the share of failures from which an endpoint is passed over:
	// two failures in a row.
	erringFrom = 0.5
	// maxErring is the part of a deployment's endpoints that may be passed over
	// so: if more fail, it is likely the requests' fault.
	maxErring = 0.5
)

// answered takes an answer into the endpoint's share of failures.
func (e *endpoint) answered(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.errors += failureWeight * (outcome - e.errors)
}

// erring reports whether this entry saw that most answers of e fail.
func (e *endpoint) erring() bool { return e.errors >= erringFrom }

// passedOver reports whether e is left out for its failures while there are
// others.
func (e *endpoint) passedOver(ask Request) bool {
	if e.erring() {
		return ask.AtMostOnce || e.own != (Load{})
	}
	return e.doubts > 0
}

// leaveTo has the peer id alone try the endpoint that both saw failing.
func (t *Table) leaveTo(id string, e *endpoint) {
	if id < t.self && e.erring() {
		e.errors, e.failures, e.suspended = 0, 0, 0
	}
}

// tooManyErr reports whether so many endpoints fail that none is passed over.
func (g *group) tooManyErr() bool {
	n := 0
	for _, e := range g.endpoints {
		if e.erring() || e.doubts > 0 {
			n++
		}
	}
	return float64(n) > maxErring*float64(len(g.endpoints))
}

// FailingEndpoints returns the endpoints whose answers fail, as far as this entry has seen
// it itself.
func (t *Table) FailingEndpoints() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for key, e := range t.endpoints {
		if e.erring() {
			keys = append(keys, key)
		}
	}
	return keys
}

package quarantine

import (
	"sync"
	"time"
)

const (
	// maxCondemned is how many different requests of a customer may be
	// quarantined within SuspectFor before all its requests run as suspects do:
	// each alone, at the isolation endpoints.
	maxCondemned = 4
	// confinedFor is how long that goes on after the last of them.
	confinedFor = time.Minute
)

// offenders counts the quarantined requests of each customer.
type offenders struct {
	mu        sync.Mutex
	condemned map[string]map[Digest]time.Time // customer -> request -> last death
}

// note records that a request was quarantined.
func (o *offenders) note(customer string, d Digest, at time.Time) {
	if customer == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.condemned == nil {
		o.condemned = make(map[string]map[Digest]time.Time)
	}
	if o.condemned[customer] == nil {
		o.condemned[customer] = make(map[Digest]time.Time)
	}
	o.condemned[customer][d] = at
}

// forget records that a request is cleared.
func (o *offenders) forget(d Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, requests := range o.condemned {
		delete(requests, d)
	}
}

// confined says whether the customer's requests run as suspects.
func (o *offenders) confined(customer string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	recent := false
	for d, at := range o.condemned[customer] {
		if now.Sub(at) >= SuspectDuration {
			delete(o.condemned[customer], d)
		}
		recent = recent || now.Sub(at) < confinedFor
	}
	if len(o.condemned[customer]) == 0 {
		delete(o.condemned, customer)
	}
	return recent && len(o.condemned[customer]) >= maxCondemned
}

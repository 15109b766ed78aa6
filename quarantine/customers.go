package quarantine

import (
	"sync"
	"time"
)

const (
	// customerIsolationThreshold is the number of different requests of a
	// customer, quarantined within SuspectDuration, at which all its requests
	// run as suspects: each alone, at the isolation endpoints.
	customerIsolationThreshold = 4
	// customerIsolationDuration is how long all requests of the customer run as
	// suspects after the last crash of a quarantined one.
	customerIsolationDuration = time.Minute
)

// customerTracker counts the quarantined requests of each customer. It is safe
// for concurrent use.
type customerTracker struct {
	mu          sync.Mutex
	quarantined map[string]map[Digest]time.Time // by customer and request; time of the last crash
}

// add records that request d of customer was quarantined. An empty customer is
// ignored.
func (o *customerTracker) add(customer string, d Digest, at time.Time) {
	if customer == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quarantined == nil {
		o.quarantined = make(map[string]map[Digest]time.Time)
	}
	if o.quarantined[customer] == nil {
		o.quarantined[customer] = make(map[Digest]time.Time)
	}
	o.quarantined[customer][d] = at
}

// remove records that request d was cleared.
func (o *customerTracker) remove(d Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, requests := range o.quarantined {
		delete(requests, d)
	}
}

// isolated reports whether all requests of the customer run as suspects.
func (o *customerTracker) isolated(customer string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	recent := false
	for d, at := range o.quarantined[customer] {
		if now.Sub(at) >= SuspectDuration {
			delete(o.quarantined[customer], d)
		}
		recent = recent || now.Sub(at) < customerIsolationDuration
	}
	if len(o.quarantined[customer]) == 0 {
		delete(o.quarantined, customer)
	}
	return recent && len(o.quarantined[customer]) >= customerIsolationThreshold
}

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
	// suspects after the last crash recorded against a quarantined one.
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
func (c *customerTracker) add(customer string, d Digest, at time.Time) {
	if customer == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quarantined == nil {
		c.quarantined = make(map[string]map[Digest]time.Time)
	}
	if c.quarantined[customer] == nil {
		c.quarantined[customer] = make(map[Digest]time.Time)
	}
	c.quarantined[customer][d] = at
}

// remove records that request d was cleared.
func (c *customerTracker) remove(d Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, requests := range c.quarantined {
		delete(requests, d)
	}
}

// isolated reports whether all requests of the customer run as suspects.
func (c *customerTracker) isolated(customer string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := false
	for d, at := range c.quarantined[customer] {
		if now.Sub(at) >= SuspectDuration {
			delete(c.quarantined[customer], d)
		}
		recent = recent || now.Sub(at) < customerIsolationDuration
	}
	if len(c.quarantined[customer]) == 0 {
		delete(c.quarantined, customer)
	}
	return recent && len(c.quarantined[customer]) >= customerIsolationThreshold
}

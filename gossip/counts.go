package gossip

import (
	"time"

	"dandelionrelay/quota"
)

// Timing of the counts in datagrams.
const (
	// countRepeatPeriod is the time for which a changed count is repeated in each
	// datagram, as several datagrams may be lost.
	countRepeatPeriod = 2 * time.Second
	// fullCountsInterval is the interval between datagrams that hold all counts.
	fullCountsInterval = 4 * time.Second
)

// Counts holds the numbers of admissions by customer since the sender started.
type Counts struct {
	ByCustomer map[quota.Key]quota.Count
	Full       bool // all customers with admissions are included; else only those whose count changed recently
}

// trackedCount is a count with the clock at its last change.
type trackedCount struct {
	count     quota.Count
	changedAt time.Duration
}

// countSelector selects the counts that a datagram holds.
type countSelector struct {
	last     map[quota.Key]trackedCount
	nextFull time.Duration // clock from which the next datagram to all recipients holds all counts
}

func newCountSelector() *countSelector { return &countSelector{last: make(map[quota.Key]trackedCount)} }

// selectCounts returns the counts to send at now: those that changed within
// countRepeatPeriod, or all of them while startingUp is set and every
// fullCountsInterval. toAll says that the datagram goes to all recipients; others do
// not count for the interval. selectCounts is not safe for concurrent use.
func (s *countSelector) selectCounts(all map[quota.Key]quota.Count, now time.Duration, startingUp, toAll bool) Counts {
	recent := make(map[quota.Key]quota.Count)
	for key, count := range all {
		previous := s.last[key]
		if previous.count != count {
			previous = trackedCount{count: count, changedAt: now}
			s.last[key] = previous
		}
		if now-previous.changedAt < countRepeatPeriod {
			recent[key] = count
		}
	}
	if startingUp {
		return Counts{ByCustomer: all, Full: true}
	}
	if now < s.nextFull || !toAll {
		return Counts{ByCustomer: recent}
	}
	s.nextFull = now + fullCountsInterval
	return Counts{ByCustomer: all, Full: true}
}

// scheduleFull makes the next datagram to all recipients hold all counts. It is
// called when a recipient may not have received any counts of this entry.
func (s *countSelector) scheduleFull() { s.nextFull = 0 }

package gossip

import (
	"time"

	"dandelionrelay/quota"
)

// Times of counts in datagrams.
const (
	// countedFor is for how long a changed count is repeated: several datagrams
	// may be lost.
	countedFor = 2 * time.Second
	// wholePace is the interval of datagrams with all counts.
	wholePace = 4 * time.Second
)

// Counts are admissions by customer since the sender started.
type Counts struct {
	ByCustomer map[quota.Key]quota.Count
	Full       bool // of all customers that ever had some; else of those that had some of late
}

// counted is a count and when it changed.
type counted struct {
	count quota.Count
	at    time.Duration
}

// countLog chooses which counts a datagram holds.
type countLog struct {
	seen  map[quota.Key]counted
	whole time.Duration // clock at which the next datagram to all holds all counts
}

func newCountLog() *countLog { return &countLog{seen: make(map[quota.Key]counted)} }

// pick returns the counts to send now. A young sender sends all; toAll says that
// they go to all receivers.
func (l *countLog) pick(all map[quota.Key]quota.Count, now time.Duration, young, toAll bool) Counts {
	late := make(map[quota.Key]quota.Count)
	for key, count := range all {
		before := l.seen[key]
		if before.count != count {
			before = counted{count: count, at: now}
			l.seen[key] = before
		}
		if now-before.at < countedFor {
			late[key] = count
		}
	}
	if young {
		return Counts{ByCustomer: all, Full: true}
	}
	if now < l.whole || !toAll {
		return Counts{ByCustomer: late}
	}
	l.whole = now + wholePace
	return Counts{ByCustomer: all, Full: true}
}

// sendWhole has the next datagram to all hold all counts: a receiver may know
// nothing of this entry.
func (l *countLog) sendWhole() { l.whole = 0 }

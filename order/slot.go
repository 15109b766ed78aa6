package order

import (
	"time"

	"dandelionrelay/infra"
)

const (
	// MaxLateness is how long after its time an order may still be sent. A later
	// one needs a new announcement.
	MaxLateness = 2 * time.Second
	// MaxPriorAnnouncements is the number of announcements before the own one that are
	// read: more than there are engines.
	MaxPriorAnnouncements = 4096
)

// MinOrderInterval returns the time between two orders, so that no minute has more than
// perMinute loads even if each is late by Lateness.
func MinOrderInterval(perMinute int) time.Duration {
	if perMinute <= 1 {
		return time.Minute + MaxLateness
	}
	return (time.Minute + MaxLateness) / time.Duration(perMinute-1)
}

// SendDelay returns how long after the last of the announcements, which is the own
// one, its order is to be sent. Every reader finds the same time: an order is
// sent when it is announced, but one gap after the one before it at least.
func SendDelay(announcements []infra.Record, gap time.Duration) time.Duration {
	if len(announcements) == 0 {
		return 0
	}
	at := announcements[0].Time
	for _, r := range announcements[1:] {
		at = at.Add(gap)
		if r.Time.After(at) {
			at = r.Time
		}
	}
	return at.Sub(announcements[len(announcements)-1].Time)
}

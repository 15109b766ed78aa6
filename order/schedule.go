package order

import (
	"time"

	"dandelionrelay/infra"
)

const (
	// MaxLateness is how long after its send time an order may still be sent. After
	// that a new announcement is needed.
	MaxLateness = 2 * time.Second
	// MaxPriorAnnouncements is the number of announcements read before the
	// sidecar's own one. It exceeds the number of engines.
	MaxPriorAnnouncements = 4096
)

// MinOrderInterval returns the time between two orders with which no minute has
// more than perMinute loads even if each order is late by up to MaxLateness.
func MinOrderInterval(perMinute int) time.Duration {
	if perMinute <= 1 {
		return time.Minute + MaxLateness
	}
	return (time.Minute + MaxLateness) / time.Duration(perMinute-1)
}

// SendDelay returns how long after the time of the last announcement, which is
// the caller's own, its order is to be sent. The result depends on the records
// alone, so that every reader computes the same: an order is sent when it is
// announced, but not earlier than interval after the order before it.
func SendDelay(announcements []infra.Record, interval time.Duration) time.Duration {
	if len(announcements) == 0 {
		return 0
	}
	sendAt := announcements[0].Time
	for _, r := range announcements[1:] {
		sendAt = sendAt.Add(interval)
		if r.Time.After(sendAt) {
			sendAt = r.Time
		}
	}
	return sendAt.Sub(announcements[len(announcements)-1].Time)
}

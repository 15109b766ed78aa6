package config

import (
	"time"
)

// DefaultRetention is the time for which the platform's log is taken to keep
// records if the settings do not say.
const DefaultRetention = 24 * time.Hour

// SnapshotSchedule decides when a process appends the state in force once more, so that
// the log always holds a snapshot. Every entry would do it; the one of the
// first rank does it first, and each further rank waits longer, so that in
// a healthy fleet one of them appends.
type SnapshotSchedule struct {
	Retention time.Duration // for which the log keeps records
	asked     time.Time     // last attempt of this process
}

// carryRanks is the number of ranks after which all wait equally long.
const carryRanks = 8

// Due reports whether the process of the given rank, from 0, is to append a
// snapshot now. carried is when the last one was appended, since when the
// process knows the state. A snapshot is renewed at a quarter of retention,
// and at the latest rank at half of it.
func (c *SnapshotSchedule) Due(now time.Time, rank int, carried, since time.Time) bool {
	if now.Sub(c.asked) < c.retryAfter() {
		return false
	}
	quarter := c.Retention / 4
	rank = min(rank, carryRanks)
	wait := quarter * time.Duration(rank) / carryRanks
	due := carried.Add(quarter + wait)
	if carried.IsZero() {
		due = since.Add(wait)
	}
	if now.Before(due) {
		return false
	}
	c.asked = now
	return true
}

// retryAfter is the time between two attempts.
func (c *SnapshotSchedule) retryAfter() time.Duration {
	return max(c.Retention/64, time.Second)
}

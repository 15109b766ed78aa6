package config

import (
	"time"
)

// DefaultRetention is the assumed retention time of the platform's log if the
// settings give none.
const DefaultRetention = 24 * time.Hour

// SnapshotSchedule decides when a process appends a snapshot of the state in
// force, so that the log always contains one. Every entry runs the schedule;
// the delay grows with the rank of the entry, so that in a healthy fleet only
// the entry of rank 0 appends.
type SnapshotSchedule struct {
	Retention   time.Duration // time for which the log keeps records
	lastAttempt time.Time     // by this process
}

// maxRank is the rank from which on all processes have the same delay.
const maxRank = 8

// Due reports whether the process of the given rank, from 0, is to append a
// snapshot now, and if so records the attempt. lastSnapshot is the time at which
// the last one was appended, zero if none is known, and knownSince the time at
// which the process learned the state. A snapshot is renewed at an age of a
// quarter of Retention by rank 0, and of half of it by maxRank.
func (s *SnapshotSchedule) Due(now time.Time, rank int, lastSnapshot, knownSince time.Time) bool {
	if now.Sub(s.lastAttempt) < s.retryInterval() {
		return false
	}
	quarter := s.Retention / 4
	rank = min(rank, maxRank)
	wait := quarter * time.Duration(rank) / maxRank
	due := lastSnapshot.Add(quarter + wait)
	if lastSnapshot.IsZero() {
		due = knownSince.Add(wait)
	}
	if now.Before(due) {
		return false
	}
	s.lastAttempt = now
	return true
}

// retryInterval returns the minimum time between two attempts of a process.
func (s *SnapshotSchedule) retryInterval() time.Duration {
	return max(s.Retention/64, time.Second)
}

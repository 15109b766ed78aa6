// Package limit enforces each customer's rate and burst across the whole
// fleet.
//
// A customer's token bucket is split into up to MaxShares shares. Each share
// belongs to one of Partitions partitions, each partition has one holder (an
// entry), and only the holder refills its shares and grants tokens from them.
// The records of the log stream Stream, in the order of their offsets, decide
// which entry holds which partition. An entry that has a request to admit
// takes one token in total from the holders of the customer's shares. A grant
// that is lost costs tokens and never adds any.
//
// Granter (the shares that this entry holds), Table (the holders, rebuilt by
// replay) and Acquisition (one request that acquires a token) take the time as
// an argument and do no I/O. Service does the I/O and Filter connects it to
// the pipeline. docs/limits.md derives the bound.
package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream is the log stream of the partition records.
const Stream = "limits"

// Partitions is the number of partitions that shares are assigned to.
const Partitions = 256

// MaxShares is the maximum number of shares of one customer.
const MaxShares = 3

// Timing of the protocol. A successor waits for TakeoverDelay, which is longer
// than ConfirmationTTL and GrantTTL together, so that it grants its first
// token only after the last possible use of a token that its predecessor
// granted.
const (
	GrantTTL         = 500 * time.Millisecond  // measured by the acquiring entry from before it sends the take call
	ClockDriftMargin = 10 * time.Millisecond   // added to GrantTTL by the granter, against clock drift
	ConfirmationTTL  = 1500 * time.Millisecond // how long a read that reached the end of the log confirms a holder
	MaxTickGap       = time.Second             // a longer gap between ticks means that the process was paused
	TakeoverDelay    = 2200 * time.Millisecond // from the takeover until the successor grants tokens
	MaxGrantAhead    = 10 * time.Millisecond   // how far ahead of its refill a token may be granted
	AbsenceTimeout   = 500 * time.Millisecond  // how long a holder must be missing from the instance list before it is replaced
	RenewInterval    = 5 * time.Minute         // how often holders renew their records, so that these do not expire from the log
)

// epsilon is the tolerance for rounding errors in token amounts.
const epsilon = 1e-6

// Limits are the rate and burst of one customer.
type Limits struct {
	Rate        float64 // requests per second, over the whole fleet
	Burst       float64 // requests
	fixedShares int     // number of shares if not 0; set only by tests that compare schemes
}

// Shares returns the number of shares that the bucket is split into. No share
// holds less than one token, unless the whole bucket does.
func (l Limits) Shares() int {
	if l.fixedShares != 0 {
		return l.fixedShares
	}
	return max(1, min(MaxShares, int(math.Floor(l.Burst))))
}

// perShare returns the limits of one share.
func (l Limits) perShare() Limits {
	k := float64(l.Shares())
	return Limits{Rate: l.Rate / k, Burst: l.Burst / k}
}

// Partition returns the partition of a customer's share; shares are counted
// from 0. The partitions of one customer's shares are distinct.
func Partition(customer string, share int) int {
	h := xxhash.Sum64String(customer)
	step := 1 + (h>>32)%(Partitions/MaxShares)
	return int((h + uint64(share)*step) % Partitions)
}

// Package limit keeps each customer inside its rate and burst, counted over
// the whole fleet.
//
// A customer's token bucket is split into up to MaxShares shares. Each share
// belongs to one of Partitions partitions, each partition has one holder (an
// entry), and only the holder mints tokens of its shares. Who holds what is
// decided by the offset order of the stream Stream of the platform's log. An
// entry that has a request to admit gathers one token from the holders of the
// customer's shares; a grant that is lost is lost tokens, never extra ones.
//
// Decisions are passive: Minter (the shares held), Table (who holds what, by
// replay) and Gather (one request's way to a token) take the time as an
// argument and do no I/O. Service does the I/O and Filter joins it to the
// pipeline. docs/limits.md holds the argument for the bound.
package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream is the log stream of the partition records.
const Stream = "limits"

// Partitions is the number of partitions that the shares fall into.
const Partitions = 256

// MaxShares is the largest number of shares of one customer.
const MaxShares = 3

// Times of the protocol. A successor waits TakeoverDelay, which is longer than
// ConfirmationTTL and GrantTTL together, so that its first token is younger than
// the last use of a token of its predecessor.
const (
	GrantTTL         = 500 * time.Millisecond  // from before the ask, by the taker's clock
	ClockDriftMargin = 10 * time.Millisecond   // added to GrantLife by the minter, against clock drift
	ConfirmationTTL  = 1500 * time.Millisecond // how long a read of the log confirms a holder
	MaxTickGap       = time.Second             // a longer gap between ticks means that the process was paused
	TakeoverDelay    = 2200 * time.Millisecond // before a successor mints
	MaxGrantAhead    = 10 * time.Millisecond   // how far ahead of its minting a token is granted
	AbsenceTimeout   = 500 * time.Millisecond  // how long a holder must be missing from the list
	RenewInterval    = 5 * time.Minute         // how often holders renew their records, against expiry
)

// epsilon is the rounding error allowed on token amounts.
const epsilon = 1e-6

// Limits is what one customer may send.
type Limits struct {
	Rate  float64 // requests per second, over the whole fleet
	Burst float64 // requests
	fixed int     // if not 0, the number of shares; set only where schemes are compared
}

// Shares returns the number of shares that the bucket is split into: none
// holds less than one token, unless the whole bucket does.
func (l Limits) Shares() int {
	if l.fixed != 0 {
		return l.fixed
	}
	return max(1, min(MaxShares, int(math.Floor(l.Burst))))
}

// part returns the limits of one share.
func (l Limits) part() Limits {
	k := float64(l.Shares())
	return Limits{Rate: l.Rate / k, Burst: l.Burst / k}
}

// Partition returns the partition of a customer's share, counted from 0. The
// partitions of one customer's shares are distinct.
func Partition(customer string, share int) int {
	h := xxhash.Sum64String(customer)
	step := 1 + (h>>32)%(Partitions/MaxShares)
	return int((h + uint64(share)*step) % Partitions)
}

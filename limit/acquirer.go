package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing and bounds of acquiring a token.
const (
	skipDuration = time.Second // how long a holder that did not reply is skipped
	maxRounds    = 5           // of take calls in one try
	maxRetries   = 3           // of one request
	retryDelay   = 3 * time.Millisecond
)

// exhaustedShards is the number of locks that the exhausted customers are
// spread over.
const exhaustedShards = 16

// Scheme determines how a token is taken from a customer's shares.
type Scheme int

// Values of Scheme.
const (
	// Proportional takes 1/k of a token from each of the k shares, so that the
	// shares stay scaled copies of the whole bucket and none overflows alone.
	Proportional Scheme = iota
	// Single takes a whole token from one share, in rotation, and calls the
	// others only if that fails. It needs fewer calls, and refuses some
	// requests that are within the rate.
	Single
)

// Acquirer starts the token acquisitions of one entry. It does no I/O and is
// safe for concurrent use.
type Acquirer struct {
	table    *Table
	scheme   Scheme
	rotation atomic.Uint64 // selects the share to call first; for Single

	mu        sync.Mutex
	skipUntil map[string]time.Time // by instance ID of a holder that did not reply; it is skipped until then

	exhausted [exhaustedShards]exhaustedShard
}

// exhaustedShard holds the customers whose next token is known not to exist
// yet.
type exhaustedShard struct {
	mu        sync.Mutex
	customers map[string]exhaustion
}

// exhaustion says that a customer with these limits has no token before until.
type exhaustion struct {
	limits Limits
	until  time.Time
}

// NewAcquirer returns an Acquirer that looks up holders in table.
func NewAcquirer(table *Table, scheme Scheme) *Acquirer {
	a := &Acquirer{table: table, scheme: scheme, skipUntil: make(map[string]time.Time)}
	for i := range a.exhausted {
		a.exhausted[i].customers = make(map[string]exhaustion)
	}
	return a
}

// markExhausted records that a customer has no token before until, so that its
// requests are refused without a call.
func (a *Acquirer) markExhausted(customer string, l Limits, until time.Time) {
	shard := a.shard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.customers[customer] = exhaustion{l, until}
}

// exhaustedUntil returns the time before which a customer has no token, or the
// zero time.
func (a *Acquirer) exhaustedUntil(now time.Time, customer string, l Limits) time.Time {
	shard := a.shard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e, ok := shard.customers[customer]
	if !ok {
		return time.Time{}
	}
	if e.limits != l || !now.Before(e.until) {
		delete(shard.customers, customer)
		return time.Time{}
	}
	return e.until
}

func (a *Acquirer) shard(customer string) *exhaustedShard {
	return &a.exhausted[xxhash.Sum64String(customer)%exhaustedShards]
}

// recordReply records whether a holder replied to a take call.
func (a *Acquirer) recordReply(now time.Time, holder string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		delete(a.skipUntil, holder)
		return
	}
	a.skipUntil[holder] = now.Add(skipDuration)
}

// skip reports whether holder is to be skipped, since it did not reply to a call
// less than skipDuration ago. After skipDuration one request calls it again, and
// the others continue to skip it.
func (a *Acquirer) skip(now time.Time, holder string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.skipUntil[holder]
	if !ok {
		return false
	}
	if now.Before(until) {
		return true
	}
	a.skipUntil[holder] = now.Add(skipDuration)
	return false
}

// Begin starts to acquire a token for one request of a customer.
func (a *Acquirer) Begin(now time.Time, customer string, l Limits) *Acquisition {
	acq := &Acquisition{acquirer: a, customer: customer, limits: l}
	acq.exhaustedUntil = a.exhaustedUntil(now, customer, l)
	if now.Before(acq.exhaustedUntil) {
		return acq
	}
	acq.locateHolders(now)
	if a.scheme == Single {
		acq.tryOneFirst(a.rotation.Add(1))
	}
	return acq
}

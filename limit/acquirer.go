package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and bounds of asking.
const (
	suspectFor = time.Second // how long a holder that did not answer is passed over
	maxRounds  = 5           // of asks for one try
	maxRetries = 3           // for one request
	retryWait  = 3 * time.Millisecond
)

// barShards is the number of locks that the customers known to be out of
// tokens are spread over.
const barShards = 16

// Scheme says how a token is gathered from a customer's shares.
type Scheme int

// The schemes.
const (
	// Proportional asks each of the k shares for 1/k of a token, so that the
	// shares stay scaled copies of the whole bucket and none overflows alone.
	Proportional Scheme = iota
	// Single asks one share for a whole token, in turn, and the others only
	// if that fails. It saves asks, and refuses some requests inside the rate.
	Single
)

// Acquirer is an entry's side of gathering tokens. It is passive and safe for
// concurrent use.
type Acquirer struct {
	table  *Table
	scheme Scheme
	turn   atomic.Uint64

	mu       sync.Mutex
	suspects map[string]time.Time // holder -> passed over until

	bars [barShards]barShard
}

// barShard remembers customers whose next token is known not to exist yet.
type barShard struct {
	mu   sync.Mutex
	bars map[string]bar
}

type bar struct {
	limits Limits
	until  time.Time
}

// NewAcquirer returns a Taker that finds holders in table.
func NewAcquirer(table *Table, scheme Scheme) *Acquirer {
	t := &Acquirer{table: table, scheme: scheme, suspects: make(map[string]time.Time)}
	for i := range t.bars {
		t.bars[i].bars = make(map[string]bar)
	}
	return t
}

// bar notes that a customer has no token before until, so that its requests
// are refused without asking.
func (t *Acquirer) bar(customer string, l Limits, until time.Time) {
	shard := t.barShard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.bars[customer] = bar{l, until}
}

// barred returns the time before which a customer has no token, or a time
// that has passed.
func (t *Acquirer) barred(now time.Time, customer string, l Limits) time.Time {
	shard := t.barShard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b, ok := shard.bars[customer]
	if !ok {
		return time.Time{}
	}
	if b.limits != l || !now.Before(b.until) {
		delete(shard.bars, customer)
		return time.Time{}
	}
	return b.until
}

func (t *Acquirer) barShard(customer string) *barShard {
	return &t.bars[xxhash.Sum64String(customer)%barShards]
}

// answered notes whether a holder answered an ask.
func (t *Acquirer) answered(now time.Time, holder string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		delete(t.suspects, holder)
		return
	}
	t.suspects[holder] = now.Add(suspectFor)
}

// suspect reports whether holder is to be passed over. Once the time is up
// one caller tries it, and the others go on passing it over.
func (t *Acquirer) suspect(now time.Time, holder string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.suspects[holder]
	if !ok {
		return false
	}
	if now.Before(until) {
		return true
	}
	t.suspects[holder] = now.Add(suspectFor)
	return false
}

// Begin starts to gather a token for one request of a customer.
func (t *Acquirer) Begin(now time.Time, customer string, l Limits) *Acquisition {
	g := &Acquisition{taker: t, customer: customer, limits: l}
	g.barred = t.barred(now, customer, l)
	if now.Before(g.barred) {
		return g
	}
	g.locate(now)
	if t.scheme == Single {
		g.rotate(t.turn.Add(1))
	}
	return g
}

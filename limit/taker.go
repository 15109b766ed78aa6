package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times and bounds of asking.
const (
	suspectFor = time.Second // how long a holder that did not answer is passed over
	maxRounds  = 5           // of asks for one request
)

// Scheme says how a token is gathered from a customer's shares.
type Scheme int

// The schemes.
const (
	// Auto is Proportional for small buckets and Single for large ones.
	Auto Scheme = iota
	// Proportional asks each of the k shares for 1/k of a token, so that the
	// shares stay scaled copies of the whole bucket and none overflows alone.
	Proportional
	// Single asks one share for a whole token, in turn, and the others only
	// if that fails.
	Single
)

// singleFrom is the burst from which Auto means Single: the tokens that a
// single share loses by overflowing alone matter little then.
const singleFrom = 30

// Taker is an entry's side of gathering tokens. It is passive and safe for
// concurrent use.
type Taker struct {
	table  *Table
	scheme Scheme
	turn   atomic.Uint64

	mu       sync.Mutex
	suspects map[string]time.Time // holder -> passed over until
}

// NewTaker returns a Taker that finds holders in table.
func NewTaker(table *Table, scheme Scheme) *Taker {
	return &Taker{table: table, scheme: scheme, suspects: make(map[string]time.Time)}
}

// answered notes whether a holder answered an ask.
func (t *Taker) answered(now time.Time, holder string, ok bool) {
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
func (t *Taker) suspect(now time.Time, holder string) bool {
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
func (t *Taker) Begin(now time.Time, customer string, l Limits) *Gather {
	k := l.Shares()
	g := &Gather{taker: t, customer: customer, limits: l, sources: make([]source, 0, k)}
	for i := range k {
		id, addr, epoch := t.table.Holder(Partition(customer, i))
		if id == "" || t.suspect(now, id) {
			continue
		}
		g.sources = append(g.sources, source{share: i, holder: id, addr: addr, epoch: epoch})
	}
	if t.scheme == Single || t.scheme == Auto && l.Burst >= singleFrom {
		g.rotate(t.turn.Add(1))
	}
	return g
}

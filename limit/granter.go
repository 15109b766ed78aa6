package limit

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/invariant"
)

// minterShards is the number of locks that the shares are spread over.
const minterShards = 32

// Tenure is one holder's right to mint the shares of a partition.
type Tenure struct {
	Acquired uint64    // epoch in which the holder took the partition
	Learnt   time.Time // when the holder knew that it had it
	From     time.Time // shares were empty then and have minted since
	Carry    *Carry    // levels handed over by the previous holder, if any
}

// Carry is the state of a partition's shares that a leaving holder hands to
// its successor. Shares not named were not used since Age before the handover.
type Carry struct {
	Age    time.Duration  `json:"age"`
	Shares []CarriedShare `json:"shares,omitempty"`
}

// CarriedShare is the level of one share at handover, in tokens.
type CarriedShare struct {
	Customer string  `json:"customer"`
	Share    int     `json:"share"`
	Level    float64 `json:"level"`
	Held     float64 `json:"held"` // in grants; they end within GrantLife
}

// Granter holds the shares of the partitions that this entry holds. It is
// passive and safe for concurrent use.
type Granter struct {
	invariants *invariant.Set
	shards     [minterShards]minterShard

	mu     sync.RWMutex
	limits map[string]Limits // never changed in place
	known  map[string]growth // of every customer that ever was
}

// growth says when a customer's shares came into use.
type growth struct {
	shares int                  // in use now
	since  [MaxShares]time.Time // zero: since the customer is known
}

type shareKey struct {
	customer string
	share    int
}

type minterShard struct {
	mu     sync.Mutex
	shares map[shareKey]*share
	closed map[int]uint64 // partition -> tenures up to this one mint no more
}

// NewGranter returns a Minter without customers.
func NewGranter(invariants *invariant.Set) *Granter {
	m := &Granter{invariants: invariants, known: make(map[string]growth)}
	for i := range m.shards {
		m.shards[i].shares = make(map[shareKey]*share)
		m.shards[i].closed = make(map[int]uint64)
	}
	return m
}

// SetLimits replaces the limits of all customers. No change adds tokens to a
// share at once; shares that a customer did not have before start empty.
func (m *Granter) SetLimits(now time.Time, limits map[string]Limits) {
	limits = maps.Clone(limits)
	grown := m.replace(now, limits)
	for i := range m.shards {
		m.shards[i].setLimits(now, limits, grown)
	}
}

// replace puts limits in force and returns, for each customer that has got
// more shares, the first new one.
func (m *Granter) replace(now time.Time, limits map[string]Limits) (grown map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grown = make(map[string]int)
	for customer, l := range limits {
		g, known := m.known[customer]
		if known && l.Shares() > g.shares {
			grown[customer] = g.shares
		}
		for i := g.shares; known && i < l.Shares(); i++ {
			g.since[i] = now
		}
		g.shares = l.Shares()
		m.known[customer] = g
	}
	m.limits = limits
	return grown
}

// setLimits brings the shares in use to new limits. Those of customers that
// are no longer known stay as they are, in case they come back.
func (sh *minterShard) setLimits(now time.Time, limits map[string]Limits, grown map[string]int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, s := range sh.shares {
		l, ok := limits[key.customer]
		if !ok || key.share >= l.Shares() {
			continue
		}
		s.advance(now)
		s.setLimits(l.part(), now)
		if first, ok := grown[key.customer]; ok && key.share >= first {
			s.level = min(s.level, 0)
		}
	}
}

// lookup returns the limits of one share and when it came into use.
func (m *Granter) lookup(key shareKey) (part Limits, since time.Time, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	l, ok := m.limits[key.customer]
	if !ok || key.share < 0 || key.share >= l.Shares() {
		return Limits{}, time.Time{}, false
	}
	return l.part(), m.known[key.customer].since[key.share], true
}

// Take answers an ask under tenure t of the share's partition.
func (m *Granter) Take(now time.Time, t Tenure, a TakeArgs) TakeReply {
	key := shareKey{a.Customer, a.Share}
	part, since, ok := m.lookup(key)
	if !ok || !(a.Amount >= 0) {
		return TakeReply{}
	}
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.closed[key.partition()] >= t.Acquired {
		return TakeReply{}
	}
	s := shard.share(now, t, key, part, since)
	pending := s.recent(now)
	g, wait := s.take(now, a.Amount, a.Partial)
	m.invariants.Check(s.withinBound(now), invariant.RateBound,
		"customer %s share %d: level %g, held %g, minted %g, limits %+v",
		a.Customer, a.Share, s.level, s.held, s.minted, s.limits)
	return TakeReply{
		Held: true, Grant: g.id, Tenure: t.Acquired, Amount: g.amount, Wait: wait,
		Left: s.ready(), Pending: pending, Settle: s.stalls(),
	}
}

// stalls reports whether the room taken by grants would stop the minting
// before they expire.
func (s *share) stalls() bool {
	return s.level+s.held+s.limits.Rate*GrantTTL.Seconds() > s.limits.Burst
}

// share returns a share as of now, set up under tenure t.
func (sh *minterShard) share(now time.Time, t Tenure, key shareKey, part Limits, since time.Time) *share {
	s, ok := sh.shares[key]
	switch {
	case !ok || s.tenure != t.Acquired:
		s = openShare(now, t, key, part, since)
		sh.shares[key] = s
	case s.last.Before(since):
		s.advance(since)
		s.level = min(s.level, 0)
	}
	s.advance(now)
	s.setLimits(part, now)
	return s
}

// openShare returns a share that this holder has not used so far.
func openShare(now time.Time, t Tenure, key shareKey, part Limits, since time.Time) *share {
	if t.Carry != nil {
		if c, ok := t.Carry.find(key); ok {
			return resumeShare(t, c, part)
		}
	}
	from := t.From
	if since.After(from) {
		from = since
	}
	return newShare(t.Acquired, part, from, now)
}

func (c *Carry) find(key shareKey) (CarriedShare, bool) {
	for _, s := range c.Shares {
		if s.Customer == key.customer && s.Share == key.share {
			return s, true
		}
	}
	return CarriedShare{}, false
}

// resumeShare continues from the level handed over. The grants of the
// previous holder take up room until they have surely ended.
func resumeShare(t Tenure, c CarriedShare, part Limits) *share {
	s := newShare(t.Acquired, part, t.Learnt, t.Learnt)
	s.level = min(c.Level, part.Burst-c.Held)
	if c.Held > 0 {
		s.nextID++
		s.held = c.Held
		s.grants = []grant{{id: s.nextID, amount: c.Held, expires: t.Learnt.Add(GrantTTL + ClockDriftMargin)}}
	}
	return s
}

// Settle ends a grant.
func (m *Granter) Settle(now time.Time, g Settlement) {
	key := shareKey{g.Customer, g.Share}
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.shares[key]
	if !ok || s.tenure != g.Tenure {
		return
	}
	s.advance(now)
	s.settle(g.Grant, g.Unused)
}

// Close stops all minting for a partition under tenure t, for good, and
// returns the state for a successor.
func (m *Granter) Close(now time.Time, partition int, t Tenure) *Carry {
	m.open(now, t)
	carry := &Carry{Age: max(0, now.Sub(m.unchangedSince(t.From)))}
	for i := range m.shards {
		m.shards[i].close(now, partition, t, carry)
	}
	return carry
}

// open sets up the shares that were handed over to t and not used since, so
// that they are handed on.
func (m *Granter) open(now time.Time, t Tenure) {
	if t.Carry == nil {
		return
	}
	for _, c := range t.Carry.Shares {
		key := shareKey{c.Customer, c.Share}
		part, since, ok := m.lookup(key)
		if !ok {
			continue
		}
		shard := m.shard(key)
		shard.mu.Lock()
		shard.share(now, t, key, part, since)
		shard.mu.Unlock()
	}
}

// close adds the state of a partition's shares in this shard to carry.
func (sh *minterShard) close(now time.Time, partition int, t Tenure, carry *Carry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed[partition] = max(sh.closed[partition], t.Acquired)
	for key, s := range sh.shares {
		if s.tenure != t.Acquired || key.partition() != partition {
			continue
		}
		s.advance(now)
		carry.Shares = append(carry.Shares, CarriedShare{key.customer, key.share, s.level, s.held})
	}
}

// unchangedSince returns the later of from and the last time when a customer
// got a share more.
func (m *Granter) unchangedSince(from time.Time) time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, g := range m.known {
		for _, since := range g.since {
			if since.After(from) {
				from = since
			}
		}
	}
	return from
}

func (k shareKey) partition() int { return Partition(k.customer, k.share) }

func (m *Granter) shard(key shareKey) *minterShard {
	h := xxhash.Sum64String(key.customer) + uint64(key.share)
	return &m.shards[h%minterShards]
}

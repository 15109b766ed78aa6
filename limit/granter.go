package limit

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/invariant"
)

// granterShards is the number of locks that the shares are spread over.
const granterShards = 32

// Tenure is the right of one holder to refill the shares of a partition and to
// grant their tokens.
type Tenure struct {
	Acquired uint64    // epoch in which the holder acquired the partition
	Learnt   time.Time // when the holder read the record that assigns the partition to it
	From     time.Time // the shares were empty at this time and have refilled since
	Carry    *Carry    // levels handed over by the previous holder, if any
}

// Carry is the state of a partition's shares that a holder hands over to its
// successor. Shares that are not listed were not used during the time Age before
// the handover.
type Carry struct {
	Age    time.Duration  `json:"age"`
	Shares []CarriedShare `json:"shares,omitempty"`
}

// CarriedShare is the state of one share at the handover.
type CarriedShare struct {
	Customer string  `json:"customer"`
	Share    int     `json:"share"`
	Level    float64 `json:"level"` // tokens that are not granted
	Held     float64 `json:"held"`  // granted tokens (share.granted), whose grants end within GrantTTL; the JSON name is part of stored records
}

// Granter holds the shares of the partitions that this entry holds, and grants
// their tokens. It does no I/O and is safe for concurrent use.
type Granter struct {
	invariants *invariant.Set
	shards     [granterShards]granterShard

	mu      sync.RWMutex
	limits  map[string]Limits       // by customer; replaced as a whole, never modified
	history map[string]shareHistory // of all customers known since the start, removed ones included
}

// shareHistory records when a customer's shares were added.
type shareHistory struct {
	count   int                  // shares in use now
	addedAt [MaxShares]time.Time // zero: when the customer became known
}

type shareKey struct {
	customer string
	share    int
}

type granterShard struct {
	mu            sync.Mutex
	shares        map[shareKey]*share
	closedTenures map[int]uint64 // by partition: the latest closed tenure; it and earlier ones grant no more tokens
}

// NewGranter returns a Granter without customers.
func NewGranter(invariants *invariant.Set) *Granter {
	g := &Granter{invariants: invariants, history: make(map[string]shareHistory)}
	for i := range g.shards {
		g.shards[i].shares = make(map[shareKey]*share)
		g.shards[i].closedTenures = make(map[int]uint64)
	}
	return g
}

// SetLimits replaces the limits of all customers. No change adds tokens to a
// share at once; shares that are added to a customer start empty.
func (g *Granter) SetLimits(now time.Time, limits map[string]Limits) {
	limits = maps.Clone(limits)
	firstNew := g.replaceLimits(now, limits)
	for i := range g.shards {
		g.shards[i].setLimits(now, limits, firstNew)
	}
}

// replaceLimits puts limits in force and returns, for each customer that
// gained shares, the index of the first new one.
func (g *Granter) replaceLimits(now time.Time, limits map[string]Limits) (firstNew map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	firstNew = make(map[string]int)
	for customer, l := range limits {
		h, known := g.history[customer]
		if known && l.Shares() > h.count {
			firstNew[customer] = h.count
		}
		for i := h.count; known && i < l.Shares(); i++ {
			h.addedAt[i] = now
		}
		h.count = l.Shares()
		g.history[customer] = h
	}
	g.limits = limits
	return firstNew
}

// setLimits applies new limits to the shares in use. Shares of customers that
// are no longer known stay as they are, in case the customers return.
func (sh *granterShard) setLimits(now time.Time, limits map[string]Limits, firstNew map[string]int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, s := range sh.shares {
		l, ok := limits[key.customer]
		if !ok || key.share >= l.Shares() {
			continue
		}
		s.advance(now)
		s.setLimits(l.perShare(), now)
		if first, ok := firstNew[key.customer]; ok && key.share >= first {
			s.level = min(s.level, 0)
		}
	}
}

// shareLimits returns the limits of one share and when it was added.
func (g *Granter) shareLimits(key shareKey) (limits Limits, since time.Time, ok bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	l, ok := g.limits[key.customer]
	if !ok || key.share < 0 || key.share >= l.Shares() {
		return Limits{}, time.Time{}, false
	}
	return l.perShare(), g.history[key.customer].addedAt[key.share], true
}

// Take returns the reply to a take call under tenure t of the share's partition. It grants
// nothing if the share is unknown, the tenure is closed, or the amount is negative
// or NaN.
func (g *Granter) Take(now time.Time, t Tenure, a TakeArgs) TakeReply {
	key := shareKey{a.Customer, a.Share}
	limits, since, ok := g.shareLimits(key)
	if !ok || !(a.Amount >= 0) {
		return TakeReply{}
	}
	shard := g.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.closedTenures[key.partition()] >= t.Acquired {
		return TakeReply{}
	}
	s := shard.share(now, t, key, limits, since)
	pending := s.recentlyGranted(now)
	granted, wait := s.take(now, a.Amount, a.Partial)
	g.invariants.Check(s.withinBound(now), invariant.RateBound,
		"customer %s share %d: level %g tokens, granted %g, refilled %g, limits %+v",
		a.Customer, a.Share, s.level, s.granted, s.refilled, s.limits)
	return TakeReply{
		Held: true, Grant: granted.id, Tenure: t.Acquired, Amount: granted.amount, Wait: wait,
		Left: s.grantable(), Pending: pending, Settle: s.refillStalls(),
	}
}

// refillStalls reports whether the room taken by grants would stop the refill
// before they expire.
func (s *share) refillStalls() bool {
	return s.level+s.granted+s.limits.Rate*GrantTTL.Seconds() > s.limits.Burst
}

// share returns a share advanced to now. It is created under tenure t if this
// tenure has not used it so far.
func (sh *granterShard) share(now time.Time, t Tenure, key shareKey, limits Limits, since time.Time) *share {
	s, ok := sh.shares[key]
	switch {
	case !ok || s.tenure != t.Acquired:
		s = initShare(now, t, key, limits, since)
		sh.shares[key] = s
	case s.refilledAt.Before(since):
		s.advance(since)
		s.level = min(s.level, 0)
	}
	s.advance(now)
	s.setLimits(limits, now)
	return s
}

// initShare returns a share that this holder has not used so far.
func initShare(now time.Time, t Tenure, key shareKey, limits Limits, since time.Time) *share {
	if t.Carry != nil {
		if c, ok := t.Carry.find(key); ok {
			return restoreShare(t, c, limits)
		}
	}
	from := t.From
	if since.After(from) {
		from = since
	}
	return newShare(t.Acquired, limits, from, now)
}

// find returns the state of the share key that was handed over, if any.
func (c *Carry) find(key shareKey) (CarriedShare, bool) {
	for _, s := range c.Shares {
		if s.Customer == key.customer && s.Share == key.share {
			return s, true
		}
	}
	return CarriedShare{}, false
}

// restoreShare continues from the level handed over. The grants of the
// previous holder take up room until they must have expired, clock drift
// included.
func restoreShare(t Tenure, c CarriedShare, limits Limits) *share {
	s := newShare(t.Acquired, limits, t.Learnt, t.Learnt)
	s.level = min(c.Level, limits.Burst-c.Held)
	if c.Held > 0 {
		s.nextID++
		s.granted = c.Held
		s.grants = []grant{{id: s.nextID, amount: c.Held, expires: t.Learnt.Add(GrantTTL + ClockDriftMargin)}}
	}
	return s
}

// Settle ends a grant. Unknown grants and those of other tenures are ignored.
func (g *Granter) Settle(now time.Time, st Settlement) {
	key := shareKey{st.Customer, st.Share}
	shard := g.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.shares[key]
	if !ok || s.tenure != st.Tenure {
		return
	}
	s.advance(now)
	s.settle(st.Grant, st.Unused)
}

// Close permanently stops the granting of a partition's tokens under tenure t,
// and returns the state for the successor.
func (g *Granter) Close(now time.Time, partition int, t Tenure) *Carry {
	g.restoreCarried(now, t)
	carry := &Carry{Age: max(0, now.Sub(g.unchangedSince(t.From)))}
	for i := range g.shards {
		g.shards[i].close(now, partition, t, carry)
	}
	return carry
}

// restoreCarried creates the shares that were handed over to t and not used
// since, so that they are included in the next handover.
func (g *Granter) restoreCarried(now time.Time, t Tenure) {
	if t.Carry == nil {
		return
	}
	for _, c := range t.Carry.Shares {
		key := shareKey{c.Customer, c.Share}
		limits, since, ok := g.shareLimits(key)
		if !ok {
			continue
		}
		shard := g.shard(key)
		shard.mu.Lock()
		shard.share(now, t, key, limits, since)
		shard.mu.Unlock()
	}
}

// close closes tenure t of the partition in this shard and adds the state of
// its shares to carry.
func (sh *granterShard) close(now time.Time, partition int, t Tenure, carry *Carry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closedTenures[partition] = max(sh.closedTenures[partition], t.Acquired)
	for key, s := range sh.shares {
		if s.tenure != t.Acquired || key.partition() != partition {
			continue
		}
		s.advance(now)
		carry.Shares = append(carry.Shares, CarriedShare{key.customer, key.share, s.level, s.granted})
	}
}

// unchangedSince returns the later of from and the last time that a customer
// gained a share.
func (g *Granter) unchangedSince(from time.Time) time.Time {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, h := range g.history {
		for _, since := range h.addedAt {
			if since.After(from) {
				from = since
			}
		}
	}
	return from
}

func (k shareKey) partition() int { return Partition(k.customer, k.share) }

func (g *Granter) shard(key shareKey) *granterShard {
	h := xxhash.Sum64String(key.customer) + uint64(key.share)
	return &g.shards[h%granterShards]
}

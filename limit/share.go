package limit

import "time"

// pendingFor is about the time that a taker needs to gather a token.
const pendingFor = 10 * time.Millisecond

// grant is tokens handed out and not yet known to be spent.
type grant struct {
	id      uint64
	amount  float64 // tokens; 0 once settled
	expires time.Time
}

// share is one part of a customer's bucket. Minting is the only source of
// tokens, and level+held never exceeds limits.Burst: a token that was granted
// takes up room until it is known to be spent or can no longer be.
type share struct {
	tenure uint64 // Tenure.Acquired under which it was set up
	limits Limits // of this share
	level  float64
	held   float64 // tokens in grants
	last   time.Time
	grants []grant // oldest first
	nextID uint64
	minted float64   // tokens since start
	start  time.Time // of the count of minted tokens
}

// newShare returns a share that was empty at from and has minted since.
func newShare(tenure uint64, l Limits, from, now time.Time) *share {
	s := &share{tenure: tenure, limits: l, last: now, start: now}
	if d := now.Sub(from); d > 0 {
		s.level = min(l.Burst, l.Rate*d.Seconds())
	}
	return s
}

// advance mints up to now and drops grants that have expired.
func (s *share) advance(now time.Time) {
	for len(s.grants) > 0 && !s.grants[0].expires.After(now) {
		g := s.grants[0]
		s.mint(g.expires)
		s.held -= g.amount
		s.grants = s.grants[1:]
	}
	if len(s.grants) == 0 {
		s.grants = nil
		s.held = 0
	}
	s.mint(now)
}

func (s *share) mint(now time.Time) {
	d := now.Sub(s.last)
	if d <= 0 {
		return
	}
	s.last = now
	room := s.limits.Burst - s.held - s.level
	n := min(s.limits.Rate*d.Seconds(), room)
	if n > 0 {
		s.level += n
		s.minted += n
	}
}

// setLimits changes the limits from now on. It never adds tokens.
func (s *share) setLimits(l Limits, now time.Time) {
	if s.limits == l {
		return
	}
	s.limits = l
	s.level = min(s.level, l.Burst-s.held)
	s.minted = 0
	s.start = now
}

// ready returns what could be granted now: the level, and what will be minted
// within MaxPromise unless the minting could stall before.
func (s *share) ready() float64 {
	room := s.limits.Burst - s.held - s.level
	return s.level + min(s.limits.Rate*MaxGrantAhead.Seconds(), max(0, room))
}

// take grants amount tokens, or less if partial. wait is the time until the
// last of them will have been minted.
func (s *share) take(now time.Time, amount float64, partial bool) (g grant, wait time.Duration) {
	if partial {
		amount = min(amount, s.ready())
	}
	if amount < epsilon {
		return grant{}, 0
	}
	if amount > s.ready()+epsilon {
		return grant{}, 0
	}
	if short := amount - s.level; short > epsilon {
		wait = time.Duration(short / s.limits.Rate * float64(time.Second))
	}
	s.nextID++
	g = grant{id: s.nextID, amount: amount, expires: now.Add(GrantTTL + ClockDriftMargin)}
	s.level -= amount
	s.held += amount
	s.grants = append(s.grants, g)
	return g, wait
}

// recent returns the tokens in grants of the last pendingFor, which their
// takers may not have made up their minds about.
func (s *share) recent(now time.Time) float64 {
	sum := 0.0
	after := now.Add(GrantTTL + ClockDriftMargin - pendingFor)
	for i := len(s.grants) - 1; i >= 0 && s.grants[i].expires.After(after); i-- {
		sum += s.grants[i].amount
	}
	return sum
}

// settle ends grant id, of which unused tokens come back.
func (s *share) settle(id uint64, unused float64) {
	for i := range s.grants {
		g := &s.grants[i]
		if g.id != id || g.amount == 0 {
			continue
		}
		s.held -= g.amount
		s.level += max(0, min(unused, g.amount))
		g.amount = 0
		return
	}
}

// withinBound reports whether the share kept its promise.
func (s *share) withinBound(now time.Time) bool {
	limit := s.limits.Burst + s.limits.Rate*now.Sub(s.start).Seconds()
	return s.level+s.held <= s.limits.Burst+epsilon && s.minted <= limit+epsilon
}

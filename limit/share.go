package limit

import "time"

// pendingWindow is approximately the time that a request needs to acquire a
// token. Older grants are not expected to be returned.
const pendingWindow = 10 * time.Millisecond

// grant is an amount of tokens that was granted and is not yet known to be
// spent.
type grant struct {
	id      uint64
	amount  float64 // tokens; 0 once settled
	expires time.Time
}

// share is one part of a customer's bucket. Refilling is the only source of
// tokens, and level+granted never exceeds limits.Burst: a token that was
// granted takes up room until it is known to be spent or can no longer be
// spent.
type share struct {
	tenure       uint64    // Tenure.Acquired under which the share was created
	limits       Limits    // of this share
	level        float64   // tokens that are not granted
	granted      float64   // tokens in grants
	refilledAt   time.Time // time of the last refill
	grants       []grant   // oldest first
	nextID       uint64
	refilled     float64   // tokens since countedSince
	countedSince time.Time // start of the count of refilled tokens
}

// newShare returns a share that was empty at from and has refilled since.
func newShare(tenure uint64, l Limits, from, now time.Time) *share {
	s := &share{tenure: tenure, limits: l, refilledAt: now, countedSince: now}
	if d := now.Sub(from); d > 0 {
		s.level = min(l.Burst, l.Rate*d.Seconds())
	}
	return s
}

// advance refills up to now and drops grants that have expired.
func (s *share) advance(now time.Time) {
	for len(s.grants) > 0 && !s.grants[0].expires.After(now) {
		g := s.grants[0]
		s.refill(g.expires)
		s.granted -= g.amount
		s.grants = s.grants[1:]
	}
	if len(s.grants) == 0 {
		s.grants = nil
		s.granted = 0
	}
	s.refill(now)
}

// refill adds the tokens due at now, up to the burst.
func (s *share) refill(now time.Time) {
	d := now.Sub(s.refilledAt)
	if d <= 0 {
		return
	}
	s.refilledAt = now
	room := s.limits.Burst - s.granted - s.level
	n := min(s.limits.Rate*d.Seconds(), room)
	if n > 0 {
		s.level += n
		s.refilled += n
	}
}

// setLimits changes the limits as of now. It never adds tokens.
func (s *share) setLimits(l Limits, now time.Time) {
	if s.limits == l {
		return
	}
	s.limits = l
	s.level = min(s.level, l.Burst-s.granted)
	s.refilled = 0
	s.countedSince = now
}

// grantable returns the tokens that could be granted now: the level, and what will
// be refilled within MaxGrantAhead, at most the room that the burst leaves now.
func (s *share) grantable() float64 {
	room := s.limits.Burst - s.granted - s.level
	return s.level + min(s.limits.Rate*MaxGrantAhead.Seconds(), max(0, room))
}

// take grants amount tokens, or fewer if partial. wait is the time until the
// last of them will have been refilled. It returns the zero grant if it grants
// none.
func (s *share) take(now time.Time, amount float64, partial bool) (g grant, wait time.Duration) {
	if partial {
		amount = min(amount, s.grantable())
	}
	if amount < epsilon {
		return grant{}, 0
	}
	if amount > s.grantable()+epsilon {
		return grant{}, 0
	}
	if short := amount - s.level; short > epsilon {
		wait = time.Duration(short / s.limits.Rate * float64(time.Second))
	}
	s.nextID++
	g = grant{id: s.nextID, amount: amount, expires: now.Add(GrantTTL + ClockDriftMargin)}
	s.level -= amount
	s.granted += amount
	s.grants = append(s.grants, g)
	return g, wait
}

// recentlyGranted returns the tokens in grants of the last pendingWindow,
// which the requests that took them may still return.
func (s *share) recentlyGranted(now time.Time) float64 {
	sum := 0.0
	after := now.Add(GrantTTL + ClockDriftMargin - pendingWindow)
	for i := len(s.grants) - 1; i >= 0 && s.grants[i].expires.After(after); i-- {
		sum += s.grants[i].amount
	}
	return sum
}

// settle ends the grant id, of which unused tokens return to the share.
func (s *share) settle(id uint64, unused float64) {
	for i := range s.grants {
		g := &s.grants[i]
		if g.id != id || g.amount == 0 {
			continue
		}
		s.granted -= g.amount
		s.level += max(0, min(unused, g.amount))
		g.amount = 0
		return
	}
}

// withinBound reports whether the share respects its limits: no more than the
// burst in level and grants, and no more refilled than burst and rate allow
// since countedSince.
func (s *share) withinBound(now time.Time) bool {
	limit := s.limits.Burst + s.limits.Rate*now.Sub(s.countedSince).Seconds()
	return s.level+s.granted <= s.limits.Burst+epsilon && s.refilled <= limit+epsilon
}

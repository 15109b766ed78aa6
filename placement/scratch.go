package placement

import (
	"math/rand/v2"
	"time"
)

// scratch returns a copy of t with the endpoints of one deployment, on which decisions can be
// tried. Each random number is the middle of its range. The copy shares with t the counts of
// cold endpoints, which must only be read; see peekColdToken.
func (t *Table) scratch(deployment string) *Table {
	s := &Table{
		self:           t.self,
		dataCentre:     t.dataCentre,
		random:         rand.New(new(middleSource)),
		entries:        t.entries,
		nearEntries:    t.nearEntries,
		endpoints:      make(map[Key]*endpoint),
		groups:         make(map[string]*group),
		peers:          t.peers,
		cold:           t.cold,
		serviceTime:    t.serviceTime,
		recentRequests: t.recentRequests,
		lastRequestAt:  t.lastRequestAt,
		policy:         t.policy,
		evacuations:    t.evacuations,
		requestSum:     t.requestSum,
		listed:         t.listed,
		responseTime:   t.responseTime,
		clock:          t.clock,
		waves:          make(map[string]*wave),
	}
	if t.onRamp != nil {
		s.onRamp = func(RampChange) {}
	}
	if w := t.waves[deployment]; w != nil {
		s.waves[deployment] = w.copy()
	}
	source := t.groups[deployment]
	if source == nil {
		return s
	}
	copies := make(map[*endpoint]*endpoint)
	s.groups[deployment] = &group{
		endpoints:   s.copyAll(source.endpoints, copies),
		otherCell:   s.copyAll(source.otherCell, copies),
		medianGap:   source.medianGap,
		medianStale: source.medianStale,
	}
	for _, started := range t.started {
		if c := copies[started.endpoint]; c != nil {
			started.endpoint = c
			s.started = append(s.started, started)
		}
	}
	return s
}

// copyAll adds copies of endpoints to t and to copies.
func (t *Table) copyAll(endpoints []*endpoint, copies map[*endpoint]*endpoint) []*endpoint {
	list := make([]*endpoint, len(endpoints))
	for i, e := range endpoints {
		c := *e
		c.limit, c.cold, c.ramp = clone(e.limit), clone(e.cold), clone(e.ramp)
		t.endpoints[c.key], copies[e], list[i] = &c, &c, &c
	}
	return list
}

// clone returns a copy of *p, or nil.
func clone[T any](p *T) *T {
	if p == nil {
		return nil
	}
	c := *p
	return &c
}

// peekColdToken is takeColdToken for a scratch table: it takes no token of the shared rate.
func (t *Table) peekColdToken(now time.Duration, e *endpoint) bool {
	if !e.isCold(now) {
		return true
	}
	c := e.cold
	if c.wait(now) > 0 {
		return false
	}
	if d := t.cold.quota.PeekLimit(now, c.name, t.coldLimit(c)); !d.Admitted {
		c.refuse(now, d.Wait)
		return false
	}
	return true
}

// middleSource is a random source whose values make Float64 return 0.5, and IntN about half
// of its argument. They differ a little, as IntN may reject a value.
type middleSource uint64

// Uint64 implements rand.Source. Float64 uses the lower 53 bits, IntN the upper ones.
func (s *middleSource) Uint64() uint64 {
	*s++
	return 1<<63 | 1<<52 | uint64(*s)
}

package limit

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1, "random runs of each combination of faults")

// mixedLimits are customers with different kinds of buckets; loadFactors gives
// the multiple of its rate that each customer sends.
var (
	mixedLimits = map[string]Limits{
		"slow":  {Rate: 0.5, Burst: 1},
		"small": {Rate: 2, Burst: 3},
		"tight": {Rate: 20, Burst: 4},
		"wide":  {Rate: 30, Burst: 90},
		"flood": {Rate: 10, Burst: 10},
		"deep":  {Rate: 1, Burst: 60},
	}
	loadFactors = map[string]float64{"slow": 0.7, "small": 0.7, "tight": 0.7, "wide": 0.7, "flood": 5, "deep": 5}
)

// sendLoad sends requests of a customer through random entries at random
// times. If factor exceeds 1, it sends as many requests as the burst at once
// now and then.
func (s *sim) sendLoad(customer string, factor float64) {
	l := s.limits[customer]
	send := 1
	if s.rnd.IntN(20) == 0 && factor > 1 {
		send = int(l.Burst)
	}
	for range send {
		s.nodes[s.rnd.IntN(len(s.nodes))].request(customer)
	}
	gap := s.rnd.ExpFloat64() / (l.Rate * factor)
	s.after(time.Duration(gap*float64(time.Second)), func() { s.sendLoad(customer, factor) })
}

// random returns a random entry that is neither killed nor paused.
func (s *sim) random() *simNode {
	for {
		n := s.nodes[s.rnd.IntN(len(s.nodes))]
		if !n.killed && !n.paused {
			return n
		}
	}
}

// pauseFor pauses an entry for d while grants for it are on their way. When it
// resumes, the customer sends as many requests as its burst through other
// entries.
func (s *sim) pauseFor(d time.Duration) *simNode {
	n := s.random()
	for range 20 {
		n.request("wide")
	}
	s.after(time.Millisecond, func() { n.paused = true })
	s.after(d, func() {
		n.resume()
		for range 90 {
			s.random().request("wide")
		}
	})
	return n
}

// pause pauses an entry for so long that the platform removes it from the
// instance list and other entries take over.
func (s *sim) pause() *simNode {
	n := s.pauseFor(time.Duration(1500+s.rnd.IntN(15000)) * time.Millisecond)
	s.after(2*time.Second, func() { s.delist(n) })
	return n
}

// delist removes a running entry from the instance list.
func (s *sim) delist(n *simNode) *simNode {
	n.delisted = true
	s.publish()
	return n
}

// disconnectLog disconnects an entry from the log for 15 s.
func (s *sim) disconnectLog(n *simNode) {
	n.logCut = true
	s.after(15*time.Second, func() { n.logCut = false })
}

// faults are the failures that the runs inject; some end by themselves and
// some last.
var faults = map[string]func(s *sim){
	"kill": func(s *sim) {
		s.random().killed = true
		s.publish()
		s.after(5*time.Second, func() { s.add() })
	},
	"pause": func(s *sim) { s.pause() },
	"pause, log cut": func(s *sim) {
		n := s.pause()
		n.lag = time.Hour // it continues to see itself on the list
		s.disconnectLog(n)
	},
	"short pause": func(s *sim) { s.pauseFor(time.Duration(s.rnd.IntN(1500)) * time.Millisecond) },
	"connections cut": func(s *sim) {
		n := s.random()
		n.peerCut = true
		s.after(10*time.Second, func() { n.peerCut = false })
	},
	"log down": func(s *sim) {
		s.logDown = true
		s.after(15*time.Second, func() { s.logDown = false })
	},
	"log cut":       func(s *sim) { s.disconnectLog(s.random()) },
	"log slow":      func(s *sim) { s.logDelay = 900 * time.Millisecond },
	"flaky appends": func(s *sim) { s.logFlaky = true },
	"list lag": func(s *sim) {
		for _, n := range s.nodes {
			n.lag = time.Duration(s.rnd.IntN(10)) * time.Second
		}
	},
	"delisted":          func(s *sim) { s.delist(s.random()) },
	"delisted, log cut": func(s *sim) { s.disconnectLog(s.delist(s.random())) },
}

// delistUnaware takes an entry off the instance list and the log while it
// continues to see itself on the list: only the ping detects that it is
// running. It is injected alone: if its peers were unreachable too, nothing
// would prevent a second holder from granting the same tokens.
func delistUnaware(s *sim) {
	n := s.delist(s.random())
	n.lag = time.Hour
	s.disconnectLog(n)
}

// TestRateBoundUnderFaults injects every fault alone and every pair of faults.
// No customer may get more than its bucket allows.
func TestRateBoundUnderFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(faults))
	for i, a := range names {
		for _, b := range names[i:] {
			for seed := range *seeds {
				t.Run(fmt.Sprintf("%s, %s/%d", a, b, seed), func(t *testing.T) { runFaults(t, uint64(seed), faults[a], faults[b]) })
			}
		}
	}
}

// TestReplyingHolderIsNotReplaced takes an entry off the instance list and
// off the log at once, while it continues to see itself on the list and to
// grant tokens. Only the ping before a takeover prevents other entries from
// granting the same tokens.
func TestReplyingHolderIsNotReplaced(t *testing.T) {
	for seed := range 8 + *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, uint64(seed), delistUnaware) })
	}
}

func runFaults(t *testing.T, seed uint64, injected ...func(*sim)) {
	t.Parallel()
	s := newSim(seed, 6, policy{}, mixedLimits)
	for _, customer := range slices.Sorted(maps.Keys(loadFactors)) {
		s.after(0, func() { s.sendLoad(customer, loadFactors[customer]) })
	}
	s.runFor(10 * time.Second)
	for range 2 {
		for _, inject := range injected {
			inject(s)
			s.runFor(time.Duration(s.rnd.IntN(4000)) * time.Millisecond)
		}
		s.runFor(15 * time.Second)
	}
	for _, v := range s.violations {
		t.Error(v)
	}
	for customer, stats := range s.stats {
		if stats.admitted == 0 {
			t.Errorf("customer %s: nothing admitted", customer)
		}
	}
}

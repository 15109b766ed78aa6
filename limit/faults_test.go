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

// mixed is customers of all kinds of buckets; loads gives the part of its
// rate that each sends.
var (
	mixed = map[string]Limits{
		"slow":  {Rate: 0.5, Burst: 1},
		"small": {Rate: 2, Burst: 3},
		"tight": {Rate: 20, Burst: 4},
		"wide":  {Rate: 30, Burst: 90},
		"flood": {Rate: 10, Burst: 10},
		"deep":  {Rate: 1, Burst: 60},
	}
	loads = map[string]float64{"slow": 0.7, "small": 0.7, "tight": 0.7, "wide": 0.7, "flood": 5, "deep": 5}
)

// load sends requests of a customer through random entries, at random times,
// now and then as many as the burst at once.
func (s *sim) load(customer string, factor float64) {
	l := s.limits[customer]
	send := 1
	if s.rnd.IntN(20) == 0 && factor > 1 {
		send = int(l.Burst)
	}
	for range send {
		s.nodes[s.rnd.IntN(len(s.nodes))].request(customer)
	}
	gap := s.rnd.ExpFloat64() / (l.Rate * factor)
	s.after(time.Duration(gap*float64(time.Second)), func() { s.load(customer, factor) })
}

// random returns a random entry that is neither dead nor paused.
func (s *sim) random() *simNode {
	for {
		n := s.nodes[s.rnd.IntN(len(s.nodes))]
		if !n.dead && !n.paused {
			return n
		}
	}
}

// freeze stops an entry for a while, with grants for it on their way. When it
// runs on, the customer sends all that the bucket has through others.
func (s *sim) freeze(d time.Duration) *simNode {
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

// pause freezes an entry for so long that the platform takes it for gone; the
// others take over.
func (s *sim) pause() *simNode {
	n := s.freeze(time.Duration(1500+s.rnd.IntN(15000)) * time.Millisecond)
	s.after(2*time.Second, func() { s.drop(n) })
	return n
}

// drop takes an entry that runs off the platform's list.
func (s *sim) drop(n *simNode) *simNode {
	n.dropped = true
	s.publish()
	return n
}

// cutLog keeps an entry from the log for a while.
func (s *sim) cutLog(n *simNode) {
	n.logCut = true
	s.after(15*time.Second, func() { n.logCut = false })
}

// faults are the failures that runs inject; each ends by itself or lasts.
var faults = map[string]func(s *sim){
	"kill": func(s *sim) {
		s.random().dead = true
		s.publish()
		s.after(5*time.Second, func() { s.add() })
	},
	"pause": func(s *sim) { s.pause() },
	"pause off platform": func(s *sim) {
		n := s.pause()
		n.lag = time.Hour // it goes on seeing itself on the list
		s.cutLog(n)
	},
	"short pause": func(s *sim) { s.freeze(time.Duration(s.rnd.IntN(1500)) * time.Millisecond) },
	"cut": func(s *sim) {
		n := s.random()
		n.peerCut = true
		s.after(10*time.Second, func() { n.peerCut = false })
	},
	"log down": func(s *sim) {
		s.logDown = true
		s.after(15*time.Second, func() { s.logDown = false })
	},
	"log cut":       func(s *sim) { s.cutLog(s.random()) },
	"log slow":      func(s *sim) { s.logDelay = 900 * time.Millisecond },
	"flaky appends": func(s *sim) { s.logFlaky = true },
	"list lag": func(s *sim) {
		for _, n := range s.nodes {
			n.lag = time.Duration(s.rnd.IntN(10)) * time.Second
		}
	},
	"dropped":         func(s *sim) { s.drop(s.random()) },
	"dropped off log": func(s *sim) { s.cutLog(s.drop(s.random())) },
}

// unseen is the failure of the list that only the ping makes up for. It is run
// alone: with the peers cut as well, nothing tells the two holders apart.
func unseen(s *sim) {
	n := s.drop(s.random())
	n.lag = time.Hour
	s.cutLog(n)
}

// TestRateBoundUnderFaults runs every fault alone and every pair. No customer
// may get more than its bucket, whatever happens.
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

// TestAnsweringHolderIsNotReplaced takes an entry off the list and the log at
// once, and has it go on seeing itself on the list, so that it goes on minting.
// Only the ping before a takeover keeps the others from minting beside it.
func TestAnsweringHolderIsNotReplaced(t *testing.T) {
	for seed := range 8 + *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, uint64(seed), unseen) })
	}
}

func runFaults(t *testing.T, seed uint64, injected ...func(*sim)) {
	t.Parallel()
	s := newSim(seed, 6, policy{}, mixed)
	for _, customer := range slices.Sorted(maps.Keys(loads)) {
		s.after(0, func() { s.load(customer, loads[customer]) })
	}
	s.runFor(10 * time.Second)
	for range 2 {
		for _, inject := range injected {
			inject(s)
			s.runFor(time.Duration(s.rnd.IntN(4000)) * time.Millisecond)
		}
		s.runFor(15 * time.Second)
	}
	for _, v := range s.over {
		t.Error(v)
	}
	for customer, stats := range s.stats {
		if stats.admitted == 0 {
			t.Errorf("customer %s: nothing admitted", customer)
		}
	}
}

package limit

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	phase     = flag.Duration("phase", 7*time.Second, "time before and after the fault")
	intensity = flag.Float64("intensity", 0.9, "fraction of its rate that a customer within its bucket sends")
)

// policies are the policies that TestSchemes compares: the ways to enforce a
// customer's limits across the entries.
var policies = []policy{
	{name: "static 1/N", static: true},
	{name: "1 share", shares: 1},
	{name: "3 shares, proportional", strict: true},
	{name: "3 shares, single call", scheme: Single},
}

// conditions are the faults that are injected after a healthy phase.
var conditions = []struct {
	name string
	run  func(s *sim)
}{
	{"healthy", func(*sim) {}},
	{"one killed", faults["kill"]},
	{"one paused for 20 s", func(s *sim) {
		n := s.random()
		n.paused = true
		s.after(20*time.Second, n.resume)
	}},
	{"log down for 30 s", func(s *sim) {
		s.logDown = true
		s.after(30*time.Second, func() { s.logDown = false })
	}},
	{"killed, log down for 30 s", func(s *sim) {
		faults["kill"](s)
		s.logDown = true
		s.after(30*time.Second, func() { s.logDown = false })
	}},
	{"killed, list lags 10 s", func(s *sim) {
		s.listLag = 10 * time.Second
		faults["kill"](s)
	}},
}

// sendWithinBucket sends only requests that a single bucket with the
// customer's limits would admit: at random times, and now and then the whole
// burst at once.
func (s *sim) sendWithinBucket(customer string, bucket *share) {
	bucket.advance(s.now)
	send := 1
	if s.rnd.IntN(30) == 0 {
		send = int(bucket.level)
	}
	for range send {
		if bucket.level >= 1 {
			bucket.level--
			s.random().request(customer)
		}
	}
	gap := s.rnd.ExpFloat64() / (bucket.limits.Rate * *intensity)
	s.after(time.Duration(gap*float64(time.Second)), func() { s.sendWithinBucket(customer, bucket) })
}

func (s *sim) startLoad() {
	for _, id := range slices.Sorted(maps.Keys(s.limits)) {
		if id == "flood" {
			s.sendLoad(id, 5)
			continue
		}
		l := s.limits[id]
		s.sendWithinBucket(id, newShare(0, l, time.Time{}, s.now))
	}
}

// result sums up the runs of one policy under one condition. The embedded
// figures are of the customers that stay within their buckets.
type result struct {
	simStats
	requests, takeCalls, settleCalls int
	violations                       []string
}

func (r *result) add(s *sim) {
	for id, x := range s.stats {
		r.requests += x.admitted + x.refused
		if id == "flood" {
			continue
		}
		r.admitted += x.admitted
		r.refused += x.refused
		r.latency += x.latency
	}
	r.takeCalls += s.takeCalls
	r.settleCalls += s.settleCalls
	r.violations = append(r.violations, s.violations...)
}

// runPolicy runs one policy under one condition.
func runPolicy(p policy, condition func(*sim), seed uint64) *sim {
	s := newSim(seed, 6, p, mixedLimits)
	s.runFor(5 * time.Second)
	s.after(0, s.startLoad)
	s.runFor(*phase)
	condition(s)
	s.runFor(*phase)
	return s
}

// TestSchemes compares the policies under the same load; -v prints the table.
func TestSchemes(t *testing.T) {
	rows := make([]string, len(policies)*len(conditions))
	t.Run("rows", func(t *testing.T) {
		for i := range rows {
			p, c := policies[i/len(conditions)], conditions[i%len(conditions)]
			t.Run(p.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				rows[i] = compare(t, p, c.name, c.run)
			})
		}
	})
	t.Logf("\n%-24s %-26s %9s %5s %8s %9s %6s %8s %9s\n%s", "scheme", "condition", "requests",
		"over", "refused", "refused %", "takes", "settles", "added ms", strings.Join(rows, ""))
}

func compare(t *testing.T, p policy, name string, condition func(*sim)) string {
	var r result
	for seed := range *seeds {
		r.add(runPolicy(p, condition, uint64(seed)))
	}
	if len(r.violations) > 0 {
		t.Errorf("admitted more than the bucket allows: %s", r.violations[0])
	}
	if p.strict && name == "healthy" && r.refused > 0 {
		t.Errorf("%d requests within their rate were refused", r.refused)
	}
	requests := r.admitted + r.refused
	return fmt.Sprintf("%-24s %-26s %9d %5d %8d %8.3f%% %6.2f %8.2f %9.2f\n", p.name, name, requests, len(r.violations),
		r.refused, 100*float64(r.refused)/float64(requests), float64(r.takeCalls)/float64(r.requests),
		float64(r.settleCalls)/float64(r.requests), r.latency.Seconds()*1e3/float64(r.admitted))
}

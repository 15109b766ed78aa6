package origin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

var (
	v1 = Origin{Deployment: "lm", Version: "v1"}
	v2 = Origin{Deployment: "lm", Version: "v2"}
)

func TestTable_FindsWhatWasRecorded(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := &fakeClock{now: time.Hour}
	table := NewTable(clock.read)
	table.Record("a", v1)
	table.Record("a", v1)
	o, ok := table.Find("a")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(o).To(gomega.Equal(v1))
	_, ok = table.Find("b")
	g.Expect(ok).To(gomega.BeFalse())
	clock.now += memory
	_, ok = table.Find("a")
	g.Expect(ok).To(gomega.BeFalse(), "expired")
}

// An ID that two streams share names neither.
func TestTable_ConflictingOriginsAreUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable((&fakeClock{now: time.Hour}).read)
	for _, o := range []Origin{v1, v2, v1} {
		table.Record("a", o)
	}
	_, ok := table.Find("a")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestTable_IsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable((&fakeClock{now: time.Hour}).read)
	for i := range 3 * shardCount * maxShardRecords {
		table.Record(fmt.Sprint(i), v1)
	}
	table.Record("", v1)
	table.Record(strings.Repeat("a", MaxIDBytes+1), v1)
	kept := 0
	for i := range table.shards {
		kept += len(table.shards[i].records)
		g.Expect(table.shards[i].queue).To(gomega.HaveLen(len(table.shards[i].records)))
	}
	g.Expect(kept).To(gomega.BeNumerically("<=", shardCount*maxShardRecords))
	_, ok := table.Find(fmt.Sprint(3*shardCount*maxShardRecords - 1))
	g.Expect(ok).To(gomega.BeTrue(), "the newest is kept")
}

// age is the greatest age of streams in the tests of History.
const age = 10 * time.Second

// newTestHistory returns a history of a route and one version that is older than age.
func newTestHistory() (*History, *fakeClock) {
	clock := &fakeClock{now: time.Hour}
	h := NewHistory(clock.read)
	h.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm"}, MaxAge: age}})
	h.SetListed(Listing{Listed: []Origin{v1, v1, {Deployment: "other", Version: "v9"}}, Gap: true})
	clock.now += age
	return h, clock
}

// The only possible origin follows from the history as long as no other version of the
// deployment was listed, however briefly.
func TestHistory_OnlyOriginUnlessAnotherWasPossible(t *testing.T) {
	for name, c := range map[string]struct {
		change func(h *History, clock *fakeClock)
		only   bool
	}{
		"nothing changed":              {change: func(*History, *fakeClock) {}, only: true},
		"other deployment changed":     {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{Listed: []Origin{v1}}) }, only: true},
		"second version":               {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{Listed: []Origin{v1, v2}}) }},
		"second version came and went": {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{Listed: []Origin{v1}, Removed: []Origin{v2}}) }},
		"version replaced":             {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{Listed: []Origin{v2}}) }},
		"list had a gap":               {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{Listed: []Origin{v1}, Gap: true}) }},
		"no endpoint left":             {change: func(h *History, _ *fakeClock) { h.SetListed(Listing{}) }, only: true},
		"route moved": {change: func(h *History, _ *fakeClock) {
			h.SetRoutes([]Route{{ID: "r", Deployments: []string{"other"}, MaxAge: age}})
		}},
		"route split": {change: func(h *History, _ *fakeClock) {
			h.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm", "other"}, MaxAge: age}})
		}},
		"route gone": {change: func(h *History, _ *fakeClock) { h.SetRoutes(nil) }},
		"route as before": {change: func(h *History, _ *fakeClock) {
			h.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm", "lm"}, MaxAge: age}})
		}, only: true},
		"second version, long ago": {change: func(h *History, c *fakeClock) {
			h.SetListed(Listing{Listed: []Origin{v1, v2}})
			h.SetListed(Listing{Listed: []Origin{v1}})
			c.now += age + 1
		}, only: true},
		"second version, before the route's timeout was cut": {change: func(h *History, c *fakeClock) {
			h.SetListed(Listing{Listed: []Origin{v1, v2}})
			h.SetListed(Listing{Listed: []Origin{v1}})
			h.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm"}, MaxAge: age / 5}})
			c.now += age / 2
		}},
		"second version, just in the age": {change: func(h *History, c *fakeClock) {
			h.SetListed(Listing{Listed: []Origin{v1, v2}})
			h.SetListed(Listing{Listed: []Origin{v1}})
			c.now += age
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h, clock := newTestHistory()
			c.change(h, clock)
			o, ok := h.Only("r")
			g.Expect(ok).To(gomega.Equal(c.only))
			if c.only {
				g.Expect(o).To(gomega.Equal(v1))
			}
		})
	}
}

// A route without a known age proves nothing.
func TestHistory_AgeNotKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	h, _ := newTestHistory()
	h.SetRoutes([]Route{{ID: "other", Deployments: []string{"lm"}}})
	_, ok := h.Only("other")
	g.Expect(ok).To(gomega.BeFalse())
}

// Streams on a route may be older than what the history holds.
func TestHistory_AgeBeyondMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	h, clock := newTestHistory()
	h.SetRoutes([]Route{{ID: "slow", Deployments: []string{"lm"}, MaxAge: 2 * memory}})
	h.SetListed(Listing{Listed: []Origin{v1, v2}})
	h.SetListed(Listing{Listed: []Origin{v1}})
	clock.now += memory + time.Second
	h.SetListed(Listing{Listed: []Origin{v1}}) // forgets v2
	clock.now += memory - time.Second
	_, ok := h.Only("slow")
	g.Expect(ok).To(gomega.BeFalse())
}

// A history that does not reach back to the beginning of a stream proves nothing.
func TestHistory_TooShort(t *testing.T) {
	g := gomega.NewWithT(t)
	h, clock := newTestHistory()
	clock.now--
	_, ok := h.Only("r")
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = NewHistory(clock.read).Only("r")
	g.Expect(ok).To(gomega.BeFalse())
}

// Versions come and go at random. The history never names an origin if any stream that
// began within the age can have another.
func TestHistory_NeverNamesOneOfSeveral(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := &fakeClock{now: time.Hour}
		h := NewHistory(clock.read)
		h.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm"}, MaxAge: age}})
		h.SetListed(Listing{Listed: []Origin{v1}, Gap: true})
		lastListed := map[Origin]time.Duration{}
		for range 200 {
			clock.now += time.Duration(random.Int64N(int64(age / 2)))
			l := Listing{}
			for _, o := range []Origin{v1, v2} {
				switch random.IntN(8) {
				case 0:
					l.Removed = append(l.Removed, o)
					lastListed[o] = clock.now
				case 1, 2, 3, 4:
					l.Listed = append(l.Listed, o)
					lastListed[o] = clock.now
				}
			}
			h.SetListed(l)
			clock.now += time.Duration(random.Int64N(int64(age)))
			if o, ok := h.Only("r"); ok {
				for other, at := range lastListed {
					if other != o && clock.now-at <= age {
						t.Fatalf("seed %d: %v is named though %v was listed %v ago", seed, o, other, clock.now-at)
					}
				}
			}
		}
	}
}

// fleetList is a list of versions that changes at random, and when each was last listed.
type fleetList struct {
	random *rand.Rand
	clock  *fakeClock
	listed []Origin
	last   map[Origin]time.Duration
}

// change changes the list, and returns it with what was listed only briefly.
func (f *fleetList) change() Listing {
	l := Listing{}
	for _, o := range []Origin{v1, v2} {
		switch f.random.IntN(6) {
		case 0:
			l.Removed = append(l.Removed, o)
			f.last[o] = f.clock.now
		case 1, 2, 3:
			l.Listed = append(l.Listed, o)
		}
	}
	for _, o := range append(f.listed, l.Listed...) {
		f.last[o] = f.clock.now
	}
	f.listed = l.Listed
	return l
}

// An entry stores its history, others change the list, and another entry starts and
// inherits. It never names an origin if any stream that began within the age can have
// another, and it does name one.
func TestHistory_InheritedNeverNamesOneOfSeveral(t *testing.T) {
	named := 0
	for seed := range uint64(3000) {
		clock := &fakeClock{now: time.Hour}
		f := &fleetList{random: rand.New(rand.NewPCG(seed, 2)), clock: clock, last: make(map[Origin]time.Duration)}
		pass := func(most time.Duration) { clock.now += time.Duration(f.random.Int64N(int64(most))) }
		writer := NewHistory(clock.read)
		writer.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm"}, MaxAge: age}})
		for range 1 + f.random.IntN(4) {
			writer.SetListed(f.change())
			pass(age)
		}
		stored, _ := writer.Stored()
		var since []Origin
		for range f.random.IntN(3) {
			pass(age / 4)
			l := f.change()
			since = append(since, append(l.Listed, l.Removed...)...)
		}
		pass(age / 4)
		// What is listed stays so: it registers again and again, or is listed when the entry starts.
		starter := NewHistory(clock.read)
		starter.SetRoutes([]Route{{ID: "r", Deployments: []string{"lm"}, MaxAge: age}})
		starter.SetListed(Listing{Listed: f.listed, Gap: true})
		starter.Inherit(stored, since)
		for _, o := range f.listed {
			f.last[o] = clock.now
		}
		o, ok := starter.Only("r")
		if !ok {
			continue
		}
		named++
		for other, at := range f.last {
			if other != o && clock.now-at <= age {
				t.Fatalf("seed %d: %v is named though %v was listed %v ago", seed, o, other, clock.now-at)
			}
		}
	}
	gomega.NewWithT(t).Expect(named).To(gomega.BeNumerically(">", 50))
}

// A route that leads elsewhere than when the history was stored is not inherited.
func TestHistory_InheritsOnlyRoutesThatLeadTheSameWay(t *testing.T) {
	g := gomega.NewWithT(t)
	h, clock := newTestHistory()
	stored, ok := h.Stored()
	g.Expect(ok).To(gomega.BeTrue())
	for deployment, known := range map[string]bool{"lm": true, "other": false} {
		starter := NewHistory(clock.read)
		starter.SetRoutes([]Route{{ID: "r", Deployments: []string{deployment}, MaxAge: age}})
		starter.SetListed(Listing{Listed: []Origin{v1}, Gap: true})
		starter.Inherit(stored, nil)
		_, ok := starter.Only("r")
		g.Expect(ok).To(gomega.Equal(known), deployment)
	}
}

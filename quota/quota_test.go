package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The figures of a customer as the operator's rule bounds it.
const (
	rate   = 33.0
	burst  = 33.0
	slack  = 20.0 // requests that the operator tolerates in a window
	excess = 0.1  // part of the bound that the operator tolerates
	window = 5 * time.Second
)

var tolerance = Tolerance{Window: window, Excess: excess, Slack: slack}

// bound is what may be admitted in any window over the whole fleet.
const bound = (rate*5+burst)*(1+excess) + slack

// fleet is some entries that tell one another of their admissions with a delay.
type fleet struct {
	tables []*Table
	starts []uint64     // of each table
	record map[Key]int  // levels handed on last
	cut    map[int]bool // entries that nobody hears and that hear nobody
	frozen map[int]bool // entries that do nothing, and hear nothing
	pipe   []delayed
	past   []time.Duration // of admissions
	delay  time.Duration   // of reports
	begun  time.Duration   // the last start of all
}

// recordEvery is the interval at which levels are handed on.
const recordEvery = 1200 * time.Millisecond

type delayed struct {
	from   int
	at     time.Duration
	counts map[Key]Count
}

const (
	tick      = 10 * time.Millisecond
	delay     = 150 * time.Millisecond // of a report, its pace included
	heardFor  = 700 * time.Millisecond // after the last report
	sendEvery = 100 * time.Millisecond
	meeting   = 2 * sendEvery // until entries that start know that they hear one another
)

func newFleet(n int) *fleet {
	f := &fleet{cut: make(map[int]bool), frozen: make(map[int]bool), delay: delay}
	for range n {
		f.tables = append(f.tables, newTable(0))
		f.starts = append(f.starts, 1)
	}
	return f
}

// newTable returns the table of an entry that starts at now.
func newTable(now time.Duration) *Table {
	t := NewTable(tolerance)
	t.SetLimits(now, map[string]Limit{"c": {Rate: rate, Burst: burst}})
	return t
}

// lead is the time between the start of a fleet and the first request.
const lead = 10 * time.Second

// restart starts all entries anew.
func (f *fleet) restart(now time.Duration) {
	for i := range f.tables {
		f.start(now, i)
	}
	f.begun = now
}

// start starts entry i anew. What it has not reported yet is lost.
func (f *fleet) start(now time.Duration, i int) {
	f.tables[i] = newTable(now)
	f.starts[i]++
	f.pipe = slices.DeleteFunc(f.pipe, func(d delayed) bool { return d.from == i })
	if f.record != nil {
		f.tables[i].InheritLevels(now, f.record)
	}
}

// step lets a tick pass at now.
func (f *fleet) step(now time.Duration) {
	if now%sendEvery == 0 {
		for i, t := range f.tables {
			if !f.cut[i] && !f.frozen[i] {
				f.pipe = append(f.pipe, delayed{from: i, at: now + f.delay, counts: t.LocalCounts()})
			}
		}
	}
	for len(f.pipe) > 0 && f.pipe[0].at <= now {
		d := f.pipe[0]
		f.pipe = f.pipe[1:]
		for i, t := range f.tables {
			if i != d.from && !f.cut[i] && !f.frozen[i] {
				young := f.starts[d.from] > 1 && f.starts[i] > 1 // all have started anew
				t.Observe(now, string(rune('a'+d.from)), f.starts[d.from], d.counts, Report{Complete: true, FromZero: young})
			}
		}
	}
	n := float64(len(f.tables))
	for i, t := range f.tables {
		if f.frozen[i] {
			continue
		}
		share := Share{Observed: (n - float64(len(f.cut)+len(f.frozen))) / n, Own: 1 / n, Until: now + heardFor}
		if f.cut[i] || now < f.begun+meeting {
			share.Observed = 1 / n
		}
		t.SetShare(share)
	}
	if now%recordEvery == 0 {
		if levels, ok := f.tables[0].Levels(now); ok {
			f.record = levels
		}
	}
}

// ask asks entry i for an admission.
func (f *fleet) ask(now time.Duration, i int) bool {
	ok := f.tables[i].Admit(now, "c").Admitted
	if ok {
		f.past = append(f.past, now)
	}
	return ok
}

// most returns the largest number of admissions in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.past {
		for f.past[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// waves has customers ask for a time in waves from start on, crest and trough in
// parts of the rate; asked is called for each request.
func waves(now time.Duration, owed *float64, trough, crest float64, asked func()) {
	level := trough
	if now%(5200*time.Millisecond) >= 3*time.Second {
		level = crest
	}
	for *owed += level * rate * tick.Seconds(); *owed >= 1; *owed-- {
		asked()
	}
}

// A customer within its rate is served by most entries for a while; then its
// first request at one that only heard of it must be admitted.
func TestAnEntryThatOnlyHeardOfACustomerAdmitsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4)
	for now := lead; now < 30*time.Second; now += tick {
		f.step(now)
		if now%(50*time.Millisecond) == 0 {
			g.Expect(f.ask(now, int(now/(50*time.Millisecond))%3)).To(gomega.BeTrue(), "at %v", now)
		}
	}
	g.Expect(f.ask(30*time.Second, 3)).To(gomega.BeTrue())
}

// Waves of nearly twice the mean, whose mean is within the rate, over all
// entries unevenly: nothing is refused.
func TestWavesWithinTheRateAreAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(7)
	refused, n := 0, 0
	owed := 0.0
	for now := lead; now < 30*time.Second; now += tick {
		f.step(now)
		waves(now, &owed, 0.378/1.6, 1.85/1.6, func() {
			n++
			if !f.ask(now, (n*n)%7) {
				refused++
			}
		})
	}
	g.Expect(refused).To(gomega.BeZero())
}

// Waves that use nearly the whole burst: whatever one bucket for the whole fleet
// would admit is admitted, but for a thousandth.
func TestTheWholeBurstIsOfUse(t *testing.T) {
	for _, entries := range []int{7, 34} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(entries)
			exact := burst
			inside, refused, n := 0, 0, 0
			owed := 0.0
			for now := lead; now < 40*time.Second; now += tick {
				f.step(now)
				exact = min(burst, exact+rate*tick.Seconds())
				waves(now, &owed, 0.5, 1.43, func() {
					n++
					admitted := f.ask(now, n*n%entries)
					if exact < 1 {
						return
					}
					exact--
					inside++
					if !admitted {
						refused++
					}
				})
			}
			g.Expect(float64(refused)).To(gomega.BeNumerically("<=", 0.001*float64(inside)), "of %d", inside)
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// Entries that are killed at the crest of a wave, one or all of them, go on with
// the tokens that were left: no customer within its rate is refused.
func TestWavesWithinTheRateAreAdmittedAfterAStart(t *testing.T) {
	for name, start := range map[string]func(f *fleet, now time.Duration){
		"one": func(f *fleet, now time.Duration) { f.start(now, 3) },
		"all": func(f *fleet, now time.Duration) { f.restart(now) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(7)
			refused, n := 0, 0
			owed := 0.0
			for now := time.Duration(0); now < 30*time.Second; now += tick {
				if now == 13800*time.Millisecond {
					start(f, now)
				}
				f.step(now)
				if now < lead || now > 13700*time.Millisecond && now < 13900*time.Millisecond {
					continue // before traffic, and until the entries are back
				}
				waves(now, &owed, 0.378/1.6, 1.85/1.6, func() {
					n++
					if !f.ask(now, (n*n)%7) {
						refused++
					}
				})
			}
			g.Expect(refused).To(gomega.BeZero())
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// A customer begins to send many times its rate right after levels were handed
// on, and then all entries are killed: the levels are out of date, but the bound
// holds, also if it happens again.
func TestTheBoundHoldsWithLevelsThatAreOutOfDate(t *testing.T) {
	for name, again := range map[string]time.Duration{"once": time.Hour, "twice": 15400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(7)
			for now := time.Duration(0); now < 30*time.Second; now += tick {
				if now == 14200*time.Millisecond || now == again {
					f.restart(now)
				}
				f.step(now)
				if now < 13200*time.Millisecond {
					continue
				}
				for i := range f.tables {
					if now%(30*time.Millisecond) == 0 {
						f.ask(now, i)
					}
				}
			}
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// A customer sends many times its rate to all entries, some of which are cut
// off or frozen for a while: the bound holds in every window.
func TestTheBoundHoldsWhateverIsCutOrFrozen(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet, now time.Duration){
		"calm": func(*fleet, time.Duration) {},
		"cut": func(f *fleet, now time.Duration) {
			delete(f.cut, 0)
			delete(f.cut, 1)
			if now > 13*time.Second && now < 19*time.Second {
				f.cut[0], f.cut[1] = true, true
			}
		},
		"restarted": func(f *fleet, now time.Duration) {
			if now == 13*time.Second {
				f.restart(now)
			}
		},
		"frozen": func(f *fleet, now time.Duration) {
			delete(f.frozen, 2)
			if now > 13*time.Second && now < 17*time.Second {
				f.frozen[2] = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(7)
			for now := time.Duration(0); now < 30*time.Second; now += tick {
				disturb(f, now)
				f.step(now)
				if now < lead {
					continue
				}
				for i := range f.tables {
					if !f.frozen[i] && now%(30*time.Millisecond) == 0 {
						f.ask(now, i)
					}
				}
			}
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
			g.Expect(f.most()).To(gomega.BeNumerically(">=", rate*5*0.9), "the rate is used")
		})
	}
}

// Over many entries and data centres reports take longer; a customer sends
// eight times its rate after a quiet time, in one wave after another.
func TestTheBoundHoldsOverManyEntries(t *testing.T) {
	for _, surge := range []float64{2, 4, 8, 16} {
		t.Run(fmt.Sprint(surge), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(34)
			f.delay = 250 * time.Millisecond
			owed, n := 0.0, 0
			for now := time.Duration(0); now < 40*time.Second; now += tick {
				f.step(now)
				if now < lead || now%(10*time.Second) > 6*time.Second {
					continue
				}
				for owed += surge * rate * tick.Seconds(); owed >= 1; owed-- {
					n++
					f.ask(now, n*n%34)
				}
			}
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
			g.Expect(f.most()).To(gomega.BeNumerically(">=", rate*5*0.9), "the rate is used")
		})
	}
}

// All of many entries start anew while a customer sends many times its rate:
// what it used before still counts.
func TestTheBoundHoldsWhenManyEntriesRestart(t *testing.T) {
	for _, surge := range []float64{2, 4, 8} {
		t.Run(fmt.Sprint(surge), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(34)
			f.delay = 250 * time.Millisecond
			owed, n := 0.0, 0
			for now := time.Duration(0); now < 25*time.Second; now += tick {
				if now == 13*time.Second {
					f.restart(now)
				}
				f.step(now)
				if now < lead || now > 12500*time.Millisecond && now < 13500*time.Millisecond {
					continue // before traffic, and while all are down
				}
				for owed += surge * rate * tick.Seconds(); owed >= 1; owed-- {
					n++
					f.ask(now, n*n%34)
				}
			}
			g.Expect(f.most()).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// Entries that have started again know nothing of one another; what one of them
// admitted since its start counts from its first report on, whole or not. What
// an entry admitted long ago does not.
func TestWhatEntriesAdmittedSinceTheyStartedCounts(t *testing.T) {
	for name, c := range map[string]struct {
		whole, young bool
		left         int
	}{
		"young":     {young: true, left: 3},
		"old whole": {whole: true, left: 10},
		"old":       {left: 10},
	} {
		g := gomega.NewWithT(t)
		table := NewTable(Tolerance{})
		table.SetLimits(-100*time.Hour, map[string]Limit{"c": {Rate: 0.001, Burst: 10}})
		table.SetShare(Share{Observed: 1, Own: 1, Until: time.Hour})
		table.Observe(0, "other", 1, map[Key]Count{KeyOf("c"): 7}, Report{Complete: c.whole, FromZero: c.young})
		admitted := 0
		for table.Admit(time.Minute, "c").Admitted {
			admitted++
		}
		g.Expect(admitted).To(gomega.Equal(c.left), name)
	}
}

// An entry that was paused does not count on a share that it had before.
func TestAPausedEntryCountsOnItsOwnShare(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(Tolerance{})
	table.SetLimits(-time.Hour, map[string]Limit{"c": {Rate: 1, Burst: 100}})
	table.SetShare(Share{Observed: 1, Own: 0.05, Until: time.Second})
	g.Expect(table.Admit(0, "c").Admitted).To(gomega.BeTrue())
	admitted := 0
	for range 100 {
		if table.Admit(5*time.Second, "c").Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(gomega.Equal(5))
}

// A lower limit binds at once.
func TestALowerLimitBinds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(Tolerance{})
	table.SetShare(Share{Observed: 1, Own: 1, Until: time.Second})
	table.SetLimits(-time.Hour, map[string]Limit{"c": {Rate: 100, Burst: 100}})
	g.Expect(table.Admit(0, "c").Admitted).To(gomega.BeTrue())
	table.SetLimits(0, map[string]Limit{"c": {Rate: 1, Burst: 2}})
	admitted := 0
	for range 10 {
		if table.Admit(0, "c").Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(gomega.Equal(2))
}

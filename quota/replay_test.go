package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the customers in replays.
const (
	replayRate  = 127.0
	replayBurst = 127.0
	// minReplayRetryAfter is the least Retry-After that the gateway sends.
	minReplayRetryAfter = 50 * time.Millisecond
)

// replay is a load on a fleet, with the disturbances that happen meanwhile.
type replay struct {
	entries int
	times   float64 // rate of the customer in surge, in multiples of its rate
	before  float64 // its rate before and between surges
	skew    float64 // of the spread of callers over entries; 0: even
	loss    float64 // fraction of reports lost
	seed    uint64
	length  time.Duration
	disturb func(f *replayFleet, now time.Duration)
}

// Surges of a replay.
const (
	surgeStart  = 13 * time.Second
	surgeEnd    = 25 * time.Second
	secondSurge = 28 * time.Second

	limitLoweredAt = 17 * time.Second
	lowering       = 500 * time.Millisecond // until all entries know the lower limit
)

// arrival is a request that comes back after a refusal.
type arrival struct {
	at       time.Duration
	customer int
}

// replayFleet replays the arrivals.
type replayFleet struct {
	*exchange
	replay
	weights    []float64 // of the entries, for arrivals
	names      []string  // of the customers; the first is the one in surge
	limit      Limit     // of the first customer at the end
	returning  map[int][]arrival
	held       map[int][]int // arrivals at frozen entries, by entry: their customers
	reference  []float64     // by customer: one bucket for the fleet, charged with all admissions and with what it counts as refused within the rate
	admissions []time.Duration
	sent       []int
	refused    []int
	within     []int // by customer: refusals while the reference had a token
	readmitted int   // returning arrivals that were admitted
	returned   int
	levels     map[Key]int
}

func newReplayFleet(r replay) *replayFleet {
	random := rand.New(rand.NewPCG(r.seed, 1))
	f := &replayFleet{replay: r, names: []string{"surge", "b", "c", "d"}, limit: Limit{Rate: replayRate, Burst: replayBurst}, returning: make(map[int][]arrival), held: make(map[int][]int)}
	f.exchange = newExchange(r.entries, random, r.loss, f.newTable, 0)
	for range r.entries {
		f.weights = append(f.weights, math.Exp(r.skew*random.NormFloat64()))
	}
	f.sent, f.refused, f.within = make([]int, len(f.names)), make([]int, len(f.names)), make([]int, len(f.names))
	for range f.names {
		f.reference = append(f.reference, replayBurst)
	}
	return f
}

func (f *replayFleet) newTable(now time.Duration) *Table {
	t := NewTable(tolerance)
	t.SetLimits(now, f.limits())
	if f.levels != nil {
		t.InheritLevels(now, f.levels)
	}
	return t
}

func (f *replayFleet) limits() map[string]Limit {
	limits := make(map[string]Limit)
	for _, name := range f.names {
		limits[name] = Limit{Rate: replayRate, Burst: replayBurst}
	}
	limits[f.names[0]] = f.limit
	return limits
}

// pick returns the entry at which a request arrives; the balancer sends none to lost entries.
func (f *replayFleet) pick() *replayEntry {
	total := 0.0
	for i, w := range f.weights {
		if f.entries()[i].up() {
			total += w
		}
	}
	x := f.random.Float64() * total
	var last *replayEntry
	for i, w := range f.weights {
		e := f.entries()[i]
		if !e.up() {
			continue
		}
		last = e
		if x -= w; x < 0 {
			break
		}
	}
	return last
}

func (f *replayFleet) entries() []*replayEntry { return f.exchange.entries }

// inSurge reports whether the first customer sends many times its rate at now.
func inSurge(now time.Duration) bool {
	return now >= surgeStart && now < surgeEnd || now >= secondSurge
}

// run replays the whole load.
func (f *replayFleet) run() {
	for now := time.Duration(0); now < f.length; now += replayTick {
		f.step(now)
		if now < 10*time.Second {
			continue
		}
		if f.disturb != nil {
			f.disturb(f, now)
		}
		if now%levelsInterval == 0 {
			if levels, ok := f.entries()[0].table.Levels(now); ok {
				f.levels = levels
			}
		}
		f.arrive(now)
	}
}

// arrive replays the arrivals of a tick.
func (f *replayFleet) arrive(now time.Duration) {
	for c := range f.names {
		l := Limit{Rate: replayRate, Burst: replayBurst}
		if c == 0 {
			l = f.limit
		}
		f.reference[c] = min(l.Burst, f.reference[c]+l.Rate*replayTick.Seconds())
	}
	for _, e := range f.entries() {
		if held := f.held[e.id]; len(held) > 0 && !e.frozen(now) {
			delete(f.held, e.id)
			for _, c := range held {
				f.request(now, e, c, false)
			}
		}
	}
	tick := int(now / replayTick)
	due := f.returning[tick]
	delete(f.returning, tick)
	returns := len(due)
	for c := range f.names {
		rate := 0.7 * replayRate
		if c == 0 {
			rate = f.before * replayRate
			if inSurge(now) {
				rate = f.times * replayRate
			}
		}
		for t := f.random.ExpFloat64() / rate; t < replayTick.Seconds(); t += f.random.ExpFloat64() / rate {
			due = append(due, arrival{customer: c})
		}
	}
	for i, a := range due {
		f.request(now, f.pick(), a.customer, i < returns)
	}
}

// request sends a request to an entry.
func (f *replayFleet) request(now time.Duration, e *replayEntry, customer int, returns bool) {
	if e.frozen(now) {
		f.held[e.id] = append(f.held[e.id], customer)
		return
	}
	f.sent[customer]++
	if returns {
		f.returned++
	}
	d := e.table.Admit(now, f.names[customer])
	if d.Admitted {
		f.reference[customer]--
		if customer == 0 {
			f.admissions = append(f.admissions, now)
		}
		if returns {
			f.readmitted++
		}
		return
	}
	f.refused[customer]++
	if f.reference[customer] >= 1 {
		f.reference[customer]--
		f.within[customer]++
	}
	if !returns {
		at := now + max(e.table.QueueRefused(now, f.names[customer]), minReplayRetryAfter)
		tick := int(at/replayTick) + 1
		f.returning[tick] = append(f.returning[tick], arrival{at: at, customer: customer})
	}
}

// allowed returns how many requests of the first customer rate and burst allow in a replay.
func (f *replayFleet) allowed() float64 {
	return replayBurst + replayRate*(surgeEnd-surgeStart).Seconds() + replayBurst + replayRate*(f.length-secondSurge).Seconds()
}

// windows returns the most admissions in any window that begins at after or later, and the
// fewest in any window that lies in a surge.
func (f *replayFleet) windows(after, until time.Duration) (most, fewest int) {
	fewest = math.MaxInt
	count := func(from, to time.Duration) int {
		i, _ := slices.BinarySearch(f.admissions, from)
		j, _ := slices.BinarySearch(f.admissions, to)
		return j - i
	}
	for from := time.Duration(0); from+window <= until; from += replayTick {
		n := count(from, from+window)
		if from >= after {
			most = max(most, n)
		}
		if inSurge(from) && inSurge(from+window) && (from >= secondSurge || from+window <= surgeEnd) {
			fewest = min(fewest, n)
		}
	}
	return most, fewest
}

// bound returns the largest number of admissions in any window under a limit.
func (f *replayFleet) bound(l Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+excess) + slack
}

func (f *replayFleet) String() string {
	most, fewest := f.windows(0, f.length)
	return fmt.Sprintf("%d entries, %.0f times: most %d of %.1f, fewest %d, within %d of %.0f (%.3f%%), refused %d, returned %d readmitted %d, others within %d of %d refused %d",
		f.replay.entries, f.times, most, f.bound(Limit{Rate: replayRate, Burst: replayBurst}), fewest, f.within[0], f.allowed(), 100*float64(f.within[0])/f.allowed(), f.refused[0], f.returned, f.readmitted,
		f.within[1]+f.within[2]+f.within[3], f.sent[1]+f.sent[2]+f.sent[3], f.refused[1]+f.refused[2]+f.refused[3])
}

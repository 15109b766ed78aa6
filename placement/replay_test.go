package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// waveLoad describes a load on a fleet: online requests whose rate alternates between
// 0.378 of its mean for 3 s and 1.85 of it for 2.2 s, and jobs of items that arrive
// steadily.
type waveLoad struct {
	entries     int
	endpoints   int
	queue       int     // requests that wait at an endpoint; it rejects further ones
	mean        float64 // share of all slots that online requests take in the mean
	jobs        float64 // a second
	itemsPerJob int
	itemEvents  int           // of an item
	due         time.Duration // of a job, after its submission
	warmUp      time.Duration // not measured
	length      time.Duration // measured
	steady      bool          // online requests arrive at their mean rate
	seed        uint64
}

// measuredWave is the load that operators measured, see
// docs/design/milestone-locality-and-load.md.
func measuredWave() waveLoad {
	return waveLoad{
		entries: 31, endpoints: 43, queue: 2, mean: 0.5,
		jobs: 1.54, itemsPerJob: 10, itemEvents: 176, due: 18 * time.Second,
		warmUp: 4 * wavePeriod, length: 6 * wavePeriod, seed: 1,
	}
}

// Times of the wave and of the work at endpoints.
const (
	waveTrough = 3 * time.Second
	wavePeak   = 2200 * time.Millisecond
	wavePeriod = waveTrough + wavePeak

	replaySlots     = 8
	onlineEvents    = 26
	onlineTokens    = 9 // of each event
	itemTokens      = 7
	prefillTime     = 30 * time.Millisecond // until the first event in an idle endpoint
	itemPrefillTime = 32 * time.Millisecond
	nearDelay       = time.Millisecond // one way, within a data centre
	farDelay        = 10 * time.Millisecond
	localReports    = 30 * time.Millisecond
	remoteReports   = 200 * time.Millisecond
	planInterval    = 15 * time.Millisecond
	maxPlanInterval = 250 * time.Millisecond
	abandonCheck    = 120 * time.Millisecond
	notRunDelay     = 50 * time.Millisecond
	maxAttempts     = 5
)

// stepTime is the time of a token step at an endpoint with a number of running requests.
func stepTime(running int) time.Duration {
	return 3800*time.Microsecond + time.Duration(running)*50*time.Microsecond
}

// replay is a simulation of a fleet in fake time, without a network.
type replay struct {
	waveLoad
	random    *rand.Rand
	now       time.Duration
	queueOf   eventQueue
	sequence  int
	fleet     []*replayEntry
	servers   map[Key]*replayServer
	replayed  replayResult
	firstSeen []time.Duration // times to the first event
	// of those that arrived in the peak and in the trough
	firstPeak, firstTrough []time.Duration
}

// event is a function to call at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after calls run after a delay.
func (r *replay) after(delay time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.queueOf, event{at: r.now + delay, sequence: r.sequence, run: run})
}

// measuring reports whether the warm-up is over.
func (r *replay) measuring() bool { return r.now >= r.warmUp }

// replayResult holds the figures of a replay, without its warm-up.
type replayResult struct {
	arrivals, rejected   int // at endpoints, online and batch
	requests, refused    int
	secondEndpoint       int // requests that went to more than one endpoint
	p50, p90, p99        time.Duration
	troughP90            time.Duration // of requests that arrived in the trough
	peakP90              time.Duration
	preempted            int
	preemptedBeforeEvent int
	submitted            int
	completed            int
	late                 int // completed after their due time, or still open then
	runsOfCompleted      int
	eventsOfItems        int // received of all items
}

func (r replayResult) String() string {
	return fmt.Sprintf("rejected %.1f%% of %d arrivals, second endpoint %.2f%%, refused %.2f%% of %d; first event p50 %v p90 %v p99 %v (p90 trough %v peak %v); items: %d submitted, %d completed, %.2f runs an item, %d preempted, %d of them before an event, %d late, %d events",
		100*float64(r.rejected)/float64(r.arrivals), r.arrivals, 100*float64(r.secondEndpoint)/float64(r.requests), 100*float64(r.refused)/float64(r.requests), r.requests,
		r.p50.Round(time.Millisecond), r.p90.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.troughP90.Round(time.Millisecond), r.peakP90.Round(time.Millisecond),
		r.submitted, r.completed, float64(r.runsOfCompleted)/float64(max(r.completed, 1)), r.preempted, r.preemptedBeforeEvent, r.late, r.eventsOfItems)
}

// replayEntry is an entry in the simulation.
type replayEntry struct {
	name       string
	dataCentre string
	table      *Table
	changed    bool // since the last report to its data centre
	items      []*replayItem
	planned    bool
	lastPlan   time.Duration
}

// replayItem is a batch item.
type replayItem struct {
	entry     *replayEntry
	due       time.Duration
	events    int
	running   bool
	notBefore time.Duration
	runs      int
	measured  bool
}

// replayWave replays a load and returns its figures.
func replayWave(l waveLoad) replayResult {
	r := &replay{waveLoad: l, random: rand.New(rand.NewPCG(l.seed, 1)), servers: make(map[Key]*replayServer)}
	dataCentres := []string{"a", "b", "c"}
	var list []Endpoint
	for i := range l.endpoints {
		e := testEndpoint(fmt.Sprintf("e%d", i), dataCentres[i%3])
		list = append(list, e)
		r.servers[e.Key()] = &replayServer{replay: r, Endpoint: e}
	}
	var names []string
	for i := range l.entries {
		e := &replayEntry{name: fmt.Sprintf("entry-%d", i), dataCentre: dataCentres[i%3]}
		names = append(names, e.name)
		e.table = NewTable(e.name, e.dataCentre, rand.New(rand.NewPCG(l.seed, uint64(10+i))), func() { e.changed = true })
		e.table.SetEndpoints(list)
		r.fleet = append(r.fleet, e)
		phase := time.Duration(r.random.Int64N(int64(remoteReports)))
		r.after(phase%localReports, func() { r.report(e, localReports, false) })
		r.after(phase, func() { r.report(e, remoteReports, true) })
	}
	for _, e := range r.fleet {
		e.table.SetEntries(names)
		var near []string
		for _, other := range r.fleet {
			if other.dataCentre == e.dataCentre {
				near = append(near, other.name)
			}
		}
		e.table.SetNearEntries(near)
	}
	r.nextRequest()
	r.nextJob()
	for r.queueOf.Len() > 0 {
		next := heap.Pop(&r.queueOf).(event)
		if next.at > l.warmUp+l.length {
			break
		}
		r.now = next.at
		next.run()
	}
	return r.results()
}

// report sends the loads of an entry to the entries of its data centre or to the others.
func (r *replay) report(e *replayEntry, interval time.Duration, remote bool) {
	r.after(interval, func() { r.report(e, interval, remote) })
	if !remote && !e.changed {
		return
	}
	if !remote {
		e.changed = false
	}
	report := Report{Loads: e.table.LocalLoads()}
	for _, to := range r.fleet {
		if to == e || (to.dataCentre != e.dataCentre) != remote {
			continue
		}
		r.after(delay(e.dataCentre, to.dataCentre), func() {
			to.table.SetPeer(e.name, report)
			r.preempt(to)
			r.wake(to)
		})
	}
}

// nextJob lets a job arrive, and then the next.
func (r *replay) nextJob() {
	if r.jobs == 0 {
		return
	}
	r.after(time.Duration(float64(time.Second)/r.jobs), func() {
		r.nextJob()
		e := r.fleet[r.random.IntN(len(r.fleet))]
		for range r.itemsPerJob {
			if r.measuring() {
				r.replayed.submitted++
			}
			e.items = append(e.items, &replayItem{entry: e, due: r.now + r.due, measured: r.measuring()})
		}
		r.wake(e)
	})
}

// wake plans the items of an entry as soon as the minimum interval allows.
func (r *replay) wake(e *replayEntry) {
	if e.planned || len(e.items) == 0 {
		return
	}
	e.planned = true
	r.after(max(0, e.lastPlan+planInterval-r.now), func() {
		e.planned = false
		e.lastPlan = r.now
		r.plan(e)
	})
}

// plan starts items of an entry in the order of package batch.
func (r *replay) plan(e *replayEntry) {
	slices.SortStableFunc(e.items, r.compareItems)
	waiting := false
	for _, it := range e.items {
		if it.running {
			continue
		}
		if it.notBefore > r.now || !r.startItem(it) {
			waiting = true
		}
	}
	if waiting {
		r.after(maxPlanInterval, func() {
			if r.now-e.lastPlan >= maxPlanInterval {
				r.wake(e)
			}
		})
	}
}

// results returns the figures at the end of a replay.
func (r *replay) results() replayResult {
	out := r.replayed
	for _, e := range r.fleet {
		for _, it := range e.items {
			if r.now > it.due {
				out.late++
			}
		}
	}
	out.p50, out.p90, out.p99 = percentile(r.firstSeen, 0.5), percentile(r.firstSeen, 0.9), percentile(r.firstSeen, 0.99)
	out.troughP90, out.peakP90 = percentile(r.firstTrough, 0.9), percentile(r.firstPeak, 0.9)
	return out
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))]
}

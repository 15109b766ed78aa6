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

// work is one run of a request or item at an endpoint.
type work struct {
	batch     bool
	events    int // to be sent
	begun     func()
	ended     func()
	rejected  func()
	started   bool
	cancelled bool
	finished  bool
	firstAt   time.Duration
	gap       time.Duration
}

// replayServer is an endpoint in the simulation: it runs its slots' number of requests in
// order of arrival.
type replayServer struct {
	*replay
	Endpoint
	running int
	waiting []*work
}

// arrive takes a request.
func (s *replayServer) arrive(w *work) {
	if s.measuring() {
		s.replayed.arrivals++
	}
	if w.cancelled {
		return
	}
	switch {
	case s.running < s.Slots:
		s.start(w)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, w)
	default:
		if s.measuring() {
			s.replayed.rejected++
		}
		w.rejected()
	}
}

func (s *replayServer) start(w *work) {
	s.running++
	w.started = true
	prefill, tokens := prefillTime, onlineTokens
	if w.batch {
		prefill, tokens = itemPrefillTime, itemTokens
	}
	prefill += time.Duration(s.running) * stepTimePerRequest
	w.firstAt = s.now + prefill
	w.gap = time.Duration(tokens) * stepTime(s.running)
	s.after(prefill, func() {
		if !w.cancelled {
			w.begun()
		}
	})
	s.after(prefill+time.Duration(w.events-1)*w.gap, func() {
		if w.finished {
			return
		}
		s.finish(w)
		w.ended()
	})
}

// finish releases the slot of w and starts the next request.
func (s *replayServer) finish(w *work) {
	w.finished = true
	s.running--
	for len(s.waiting) > 0 && s.running < s.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

// cancel ends w after the end of a step.
func (s *replayServer) cancel(w *work) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if !w.started {
		return
	}
	s.after(stepTime(s.running), func() {
		if !w.finished {
			s.finish(w)
		}
	})
}

// delay returns the time from an entry to an endpoint or another entry.
func delay(from, to string) time.Duration {
	if from == to {
		return nearDelay
	}
	return farDelay
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

// rate returns the online requests a second.
func (r *replay) rate() float64 {
	service := 0.95
	mean := r.mean * float64(r.endpoints*replaySlots) / service
	switch {
	case r.steady:
		return mean
	case r.peak():
		return mean * 1.85
	}
	return mean * 0.378
}

func (r *replay) peak() bool { return r.now%wavePeriod >= waveTrough }

// nextRequest lets an online request arrive, and then the next.
func (r *replay) nextRequest() {
	r.after(time.Duration(r.random.ExpFloat64()/r.rate()*float64(time.Second)), func() {
		r.nextRequest()
		e := r.fleet[r.random.IntN(len(r.fleet))]
		if r.measuring() {
			r.replayed.requests++
		}
		r.request(&replayRequest{entry: e, arrivedAt: r.now, peak: r.peak(), avoid: make(map[Key]bool), measured: r.measuring()})
	})
}

// replayRequest is an online request.
type replayRequest struct {
	entry     *replayEntry
	arrivedAt time.Duration
	peak      bool
	avoid     map[Key]bool
	attempts  int
	mayRun    bool
	measured  bool
}

// request sends an online request to the next endpoint.
func (r *replay) request(q *replayRequest) {
	request := Request{Deployment: model, Avoid: q.avoid, MaxWait: maxWait}
	if q.mayRun {
		request.MaxWait = time.Minute
	}
	grant, _ := q.entry.table.Place(r.now, request)
	if grant == nil || q.attempts == maxAttempts {
		if grant != nil {
			grant.Release(r.now, Aborted, 0)
		}
		if q.measured {
			r.replayed.refused++
		}
		return
	}
	if q.attempts++; q.attempts == 2 && q.measured {
		r.replayed.secondEndpoint++
	}
	if grant.Load.Online+grant.Load.Batch >= replaySlots {
		r.preempt(q.entry)
	}
	q.avoid[grant.Key()] = true
	server := r.servers[grant.Key()]
	far := delay(q.entry.dataCentre, server.DataCentre)
	w := &work{events: onlineEvents}
	w.begun = func() {
		if q.measured {
			r.observe(q, r.now+far-q.arrivedAt)
		}
	}
	w.ended = func() { r.after(far, func() { grant.Release(r.now, Done, w.gap) }) }
	w.rejected = func() {
		r.after(far, func() {
			w.cancelled = true
			grant.Release(r.now, Full, 0)
			r.request(q)
		})
	}
	r.after(far, func() { server.arrive(w) })
	r.after(abandonCheck, func() {
		request := Request{Deployment: model, Avoid: q.avoid}
		if w.started || w.cancelled || q.attempts > 1 || !q.entry.table.HasFreeSlot(r.now, request) {
			return
		}
		w.cancelled, q.mayRun = true, true
		grant.Release(r.now, Aborted, 0)
		r.after(far, func() { server.cancel(w) })
		r.request(q)
	})
}

// observe adds the time to the first event of a request.
func (r *replay) observe(q *replayRequest, d time.Duration) {
	r.firstSeen = append(r.firstSeen, d)
	if q.peak {
		r.firstPeak = append(r.firstPeak, d)
	} else {
		r.firstTrough = append(r.firstTrough, d)
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

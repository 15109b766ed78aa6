package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// rampFleet replays a steady load over entries that exchange reports with a delay, before
// endpoints some of which start in the middle of it.
type rampFleet struct {
	entries   int
	endpoints int
	started   int           // endpoints that start at startAt; the others run before
	capacity  int           // concurrent requests that an endpoint takes at once in warmUp after startAt; above it responses are slow
	warmUp    time.Duration // from startAt
	perSecond float64
	ramps     bool
}

// rampResult is what the replay measured at the endpoints that start.
type rampResult struct {
	peakAtStart int           // largest number of concurrent requests at one of them in the first 100 ms
	slow        int           // slow responses
	allAllowed  time.Duration // from startAt until the ramps of all of them have ended at all entries; 0: never
	served      int           // requests in the first 3 s
	refused     int           // requests at all endpoints
	changes     []RampEvent
}

const (
	rampTick     = 5 * time.Millisecond
	rampStartAt  = 2 * time.Second
	rampLength   = 6 * time.Second
	rampService  = 750 * time.Millisecond
	rampResponse = 50 * time.Millisecond  // usual time to the response header
	slowResponse = 600 * time.Millisecond // of an endpoint that is asked for more than it can take
	rampLag      = 30 * time.Millisecond  // of reports
)

// rampRequest is a request that runs in the replay.
type rampRequest struct {
	grant   *Grant
	respond time.Duration // clock at the response header
	end     time.Duration
	said    bool // the response header was observed
}

func (f rampFleet) run() rampResult {
	random := rand.New(rand.NewPCG(11, 12))
	var before, all []Endpoint
	starting := make(map[Key]bool)
	for i := range f.endpoints {
		e := testEndpoint(fmt.Sprint("e", i), "a")
		all = append(all, e)
		if i < f.started {
			starting[e.Key()] = true
		} else {
			before = append(before, e)
		}
	}
	var result rampResult
	names := make([]string, f.entries)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	tables := make([]*Table, f.entries)
	for i := range tables {
		tables[i] = NewTable(names[i], "a", rand.New(rand.NewPCG(13, uint64(i))), nil)
		tables[i].SetEntries(names)
		tables[i].SetEndpoints(before)
		if f.ramps {
			tables[i].EnableRamps(func(c RampChange) { result.changes = append(result.changes, c.Event) })
		}
	}
	load := make(map[Key]int)
	var active []rampRequest
	pending := 0.0
	for now := time.Duration(0); now < rampLength; now += rampTick {
		if now == rampStartAt {
			for _, tab := range tables {
				tab.SetEndpoints(all)
			}
		}
		active = f.endRequests(now, active, load)
		if now%rampLag == 0 {
			exchangeReports(now, tables)
		}
		for pending += f.perSecond * rampTick.Seconds(); pending >= 1; pending-- {
			grant, refusal := tables[random.IntN(f.entries)].Place(now, Request{Deployment: model, MaxWait: maxWait})
			if refusal != nil {
				result.refused++
				continue
			}
			key := grant.Key()
			load[key]++
			r := rampRequest{grant: grant, respond: now + rampResponse, end: now + rampService}
			if starting[key] && now < rampStartAt+f.warmUp && load[key] > f.capacity {
				r.respond = now + slowResponse
				result.slow++
			}
			if starting[key] && now < rampStartAt+100*time.Millisecond {
				result.peakAtStart = max(result.peakAtStart, load[key])
			}
			if starting[key] && now < rampStartAt+3*time.Second {
				result.served++
			}
			active = append(active, r)
		}
		if now > rampStartAt && result.allAllowed == 0 && noRamps(tables) {
			result.allAllowed = now - rampStartAt
		}
	}
	return result
}

// endRequests observes the responses that are due at now and releases the requests that have
// ended. It returns those that go on.
func (f rampFleet) endRequests(now time.Duration, active []rampRequest, load map[Key]int) []rampRequest {
	remaining := active[:0]
	for _, r := range active {
		if !r.said && r.respond <= now {
			r.grant.Observe(now, Notice{})
			r.said = true
		}
		if r.end <= now {
			r.grant.Release(now, Done, 20*time.Millisecond)
			load[r.grant.Key()]--
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

// exchangeReports gives each table the reports of all others.
func exchangeReports(now time.Duration, tables []*Table) {
	for i, from := range tables {
		r := Report{Loads: from.LocalLoads(), Ramps: from.Ramps(now)}
		for j, to := range tables {
			if i != j {
				to.SetPeer(fmt.Sprint(i), r)
				to.AdoptRamps(now, r.Ramps)
			}
		}
	}
}

// noRamps reports whether no table has an endpoint with a ramp.
func noRamps(tables []*Table) bool {
	for _, tab := range tables {
		tab.beginRamps(0)
		for _, e := range tab.endpoints {
			if e.ramping() {
				return false
			}
		}
	}
	return true
}

// An endpoint that has just started has the fewest requests, and all entries sent theirs to
// it at the same time. It takes three at once in its first two seconds.
func TestRamp_StartedEndpointIsNotFlooded(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := rampFleet{entries: 31, endpoints: 8, started: 1, capacity: 3, warmUp: 2 * time.Second, perSecond: 60}
	flooded := fleet.run()
	fleet.ramps = true
	ramped := fleet.run()
	g.Expect(flooded.slow).To(gomega.BeNumerically(">", 0), "the load must show the failure without ramps")
	g.Expect(ramped.slow).To(gomega.BeNumerically("<", flooded.slow/2))
	g.Expect(ramped.refused).To(gomega.BeZero())
}

// A ramp must not leave an endpoint idle that takes all its slots from the start: 31 entries
// of which each has one request in a half second find that out together.
func TestRamp_SoundEndpointIsNotLeftIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := rampFleet{entries: 31, endpoints: 8, started: 1, capacity: 8, warmUp: 2 * time.Second, perSecond: 60, ramps: true}
	ramped := fleet.run()
	g.Expect(ramped.allAllowed).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", time.Second)))
	fleet.ramps = false
	g.Expect(float64(ramped.served)).To(gomega.BeNumerically(">", 0.8*float64(fleet.run().served)))
}

// An endpoint that gets slow during its ramp was sent more and more requests.
func TestRamp_SlowResponsesReduceTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := rampFleet{entries: 7, endpoints: 8, started: 1, capacity: 4, warmUp: 3 * time.Second, perSecond: 60, ramps: true}
	ramped := fleet.run()
	g.Expect(ramped.changes).To(gomega.ContainElements(RampBegun, RampReduced, RampAdopted, RampEnded))
}

// Forty endpoints that return at once leave three for all requests of the first moments:
// a ramp must not refuse what the fleet can serve.
func TestRamp_ManyEndpointsReturnAtOnceWithoutRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := rampFleet{entries: 31, endpoints: 43, started: 40, capacity: 8, warmUp: time.Second, perSecond: 25}
	without := fleet.run()
	fleet.ramps = true
	with := fleet.run()
	g.Expect(without.refused).To(gomega.BeZero(), "the three endpoints carry the load before the others return")
	g.Expect(with.refused).To(gomega.BeZero())
	fleet.perSecond = 200 // more than three endpoints can serve
	without, with = fleet.run(), rampFleet{entries: 31, endpoints: 43, started: 40, capacity: 8, warmUp: time.Second, perSecond: 200}.run()
	g.Expect(with.refused).To(gomega.BeNumerically("<=", without.refused))
}

// At the crest of a wave many requests arrive before an entry learns of the placements of
// the others; they all went to the endpoint that had just started.
func TestRamp_HoldsAtTheCrest(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := rampFleet{entries: 31, endpoints: 43, started: 1, capacity: 3, warmUp: 2 * time.Second, perSecond: 370}
	flooded := fleet.run()
	fleet.ramps = true
	ramped := fleet.run()
	g.Expect(flooded.peakAtStart).To(gomega.BeNumerically(">", 2*initialRamp), "the load must show the failure without ramps")
	g.Expect(ramped.peakAtStart).To(gomega.BeNumerically("<=", 2*initialRamp))
	g.Expect(ramped.slow).To(gomega.BeNumerically("<", flooded.slow))
}

// An endpoint that responds again after failures was sent the requests of all entries; one
// lost response of a sound endpoint is no failure of the endpoint.
func TestRamp_BeginsAfterRepeatedFailuresOnly(t *testing.T) {
	for failures, begins := range map[int]bool{1: false, rampFailures: true} {
		g := gomega.NewWithT(t)
		x := testEndpoint("x", "a")
		tab := newTable("self", x)
		var events []RampEvent
		tab.EnableRamps(func(c RampChange) { events = append(events, c.Event) })
		for range failures {
			grant, _ := tab.Place(0, testRequest())
			grant.Release(0, Failed, 0)
		}
		grant, _ := tab.Place(time.Minute, testRequest())
		grant.Release(time.Minute, Done, 0)
		if begins {
			g.Expect(events).To(gomega.Equal([]RampEvent{RampBegun}), "%d failures", failures)
		} else {
			g.Expect(events).To(gomega.BeEmpty(), "%d failures", failures)
		}
	}
}

// A ramp without responses must end: its endpoint would get requests from few entries for
// good, if those have none.
func TestRamp_EndsWithoutResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
	tab := newTable("self", x)
	tab.EnableRamps(func(RampChange) {})
	tab.SetEndpoints([]Endpoint{x, y})
	grant, _ := tab.Place(0, testRequest())
	grant.Release(0, Aborted, 0)
	g.Expect(tab.Ramps(0)).To(gomega.HaveLen(1))
	g.Expect(tab.Ramps(rampTTL)).To(gomega.BeEmpty())
}

// A report that is older than the end of a ramp must not begin it again.
func TestRamp_EndedRoundIsNotAdoptedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
	tab := newTable("self", x)
	tab.EnableRamps(func(RampChange) {})
	tab.SetEndpoints([]Endpoint{x, y})
	grant, _ := tab.Place(0, testRequest())
	grant.Release(0, Aborted, 0)
	late := tab.Ramps(0)
	tab.Ramps(rampTTL)
	tab.AdoptRamps(rampTTL, late)
	g.Expect(tab.Ramps(rampTTL)).To(gomega.BeEmpty())
	tab.AdoptRamps(rampTTL, map[Key]Ramp{y.Key(): {Round: 9, Base: 1}})
	g.Expect(tab.Ramps(rampTTL)).To(gomega.HaveLen(1))
}

// Endpoints come and go while ramps are off, or while nothing is placed: those whose ramps have
// not begun must not pile up, and one that has been listed for long is not ramped.
func TestRamp_StartedEndpointsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
	tab := newTable("self", x)
	tab.SetEndpoints([]Endpoint{x, y})
	g.Expect(tab.started).To(gomega.BeEmpty(), "ramps are off")
	tab.EnableRamps(func(RampChange) {})
	for i := range 10 {
		y.StartMs = int64(i + 1)
		tab.SetEndpoints([]Endpoint{x, y})
	}
	g.Expect(tab.started).To(gomega.HaveLen(1), "the others are no longer listed")
	tab.Ramps(0)
	tab.Ramps(rampTTL)
	g.Expect(tab.started).To(gomega.HaveLen(1))
	grant, _ := tab.Place(rampTTL+1, testRequest())
	grant.Release(rampTTL+1, Aborted, 0)
	g.Expect(tab.Ramps(rampTTL+1)).To(gomega.BeEmpty(), "it was listed long ago")
	g.Expect(tab.started).To(gomega.BeEmpty())
}

// With ramps of the endpoints of all cells, each report of a fleet with 3,000 endpoints that
// start held 30 kB.
func TestRamp_NotOfOtherCells(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y, z := testEndpoint("x", "a"), testEndpoint("y", "a"), testEndpoint("z", "a")
	z.OtherCell = true
	tab := newTable("self", x)
	tab.EnableRamps(func(RampChange) {})
	tab.SetEndpoints([]Endpoint{x, y, z})
	grant, _ := tab.Place(0, testRequest())
	grant.Release(0, Aborted, 0)
	g.Expect(tab.Ramps(0)).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey(y.Key())))
	tab.AdoptRamps(0, map[Key]Ramp{z.Key(): {Round: 9, Base: 1}})
	g.Expect(tab.Ramps(0)).NotTo(gomega.HaveKey(z.Key()))
}

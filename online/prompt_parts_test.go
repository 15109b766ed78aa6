package online

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/keyedlog"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
)

// Bounds of the users on requests whose prompts share a part that crashes endpoints.
const (
	crashesToKnow  = 5               // crashes after which the part must become known
	spreadTime     = 3 * time.Second // from the last of them until all entries must know the part
	toleratedSends = 3               // requests that may still reach endpoints after that
)

// Parts of the prompts in the test, and the header that tells the stand-in of an endpoint
// to crash.
const (
	firstPart    = "5c1e07a2"
	crashingPart = "bad0bad0"
	headerCrash  = "X-Crash"
)

// crashFleet is a fleet of entries that share what they know of crashes, and of endpoints
// that start again as new incarnations. It is used within a synctest bubble.
type crashFleet struct {
	*gomega.WithT
	network *network.Network
	entries []*crashEntry
	random  *rand.Rand
	ctx     context.Context // ends with stop
	stop    context.CancelFunc
	running sync.WaitGroup // goroutines that follow endpoints

	mu        sync.Mutex
	endpoints []*streams.Endpoint // that run, by place; nil: down
	starts    int
	crashes   []time.Time
	sends     []time.Time // requests with the crashing part that reached endpoints
}

// crashEntry is one entry of a crashFleet.
type crashEntry struct {
	*Service
	handle pipeline.Handler
}

// Size and timing of a crashFleet.
const (
	crashEntries   = 7
	crashEndpoints = 9
	crashSlots     = 8
	restartTime    = 3 * time.Second
	crashTime      = 100 * time.Millisecond // from the header to the crash
)

func newCrashFleet(t *testing.T, seed uint64) *crashFleet {
	f := &crashFleet{WithT: gomega.NewWithT(t), network: network.New(), endpoints: make([]*streams.Endpoint, crashEndpoints), random: rand.New(rand.NewPCG(seed, 1))}
	f.ctx, f.stop = context.WithCancel(t.Context())
	log := keyed.NewLog(100)
	for i := range crashEntries {
		f.entries = append(f.entries, f.newEntry(t, i, log))
	}
	for place := range crashEndpoints {
		f.start(t, place)
	}
	f.publish()
	return f
}

func (f *crashFleet) newEntry(t *testing.T, i int, log *keyed.Log) *crashEntry {
	service := newFleetEntry(t, f.network, i)
	handle := &keyed.Handle{Log: log}
	suspects := quarantine.NewSharedTable(handle, zerolog.Nop(), func(key string, err error) { t.Errorf("record %s: %v", key, err) })
	follower := keyedlog.NewFollower(handle, suspects, keyedlog.Options{Name: "suspects", MaxWait: 5 * time.Second, MinInterval: 500 * time.Millisecond, Clock: service.Clock})
	f.running.Go(func() { follower.Run(f.ctx) })
	f.running.Go(func() { suspects.Run(f.ctx) })
	service.Suspects = suspects
	return &crashEntry{Service: service, handle: pipeline.Chain(service.Handle, quarantine.Filter(suspects))}
}

// start starts a new incarnation of the endpoint at a place.
func (f *crashFleet) start(t *testing.T, place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	e := newEndpoint(fmt.Sprintf("e%d-%d", place, f.starts), nil)
	e.Slots = crashSlots
	e.BehaviourFor = func(r *http.Request, _ int) streams.Behaviour {
		if r.Header.Get(headerCrash) == "" {
			return streams.Behaviour{}
		}
		f.mu.Lock()
		f.sends = append(f.sends, time.Now())
		f.mu.Unlock()
		return streams.Behaviour{CrashAfter: crashTime}
	}
	server := e.Serve(f.network.Listen(address(place)))
	t.Cleanup(func() { _ = server.Close() })
	f.endpoints[place] = e
	f.running.Go(func() { f.restartAfterCrash(t, place) })
}

func address(place int) string { return fmt.Sprintf("place-%d:1", place) }

// restartAfterCrash waits until the endpoint at a place refuses connections and starts it
// again after restartTime.
func (f *crashFleet) restartAfterCrash(t *testing.T, place int) {
	for {
		time.Sleep(10 * time.Millisecond)
		if f.ctx.Err() != nil {
			return
		}
		c, err := f.network.DialContext(f.ctx, "tcp", address(place))
		if err != nil {
			break
		}
		_ = c.Close()
	}
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.endpoints[place] = nil
	f.mu.Unlock()
	f.publish()
	time.Sleep(restartTime)
	if f.ctx.Err() == nil {
		f.start(t, place)
		f.publish()
	}
}

// publish sends the list of endpoints that run to all entries.
func (f *crashFleet) publish() {
	f.mu.Lock()
	var list []placement.Endpoint
	for place, e := range f.endpoints {
		if e != nil {
			list = append(list, placement.Endpoint{ID: e.ID, Address: address(place), Deployment: "lm", DataCentre: "a", Slots: e.Slots})
		}
	}
	f.mu.Unlock()
	for _, e := range f.entries {
		e.Table.SetEndpoints(list)
	}
}

// send sends a request with the given parts at a random entry. It returns the error of the
// entry, or nil if the request was served.
func (f *crashFleet) send(t *testing.T, id string, parts []string, crashes bool) *api.Error {
	c, _ := newCall(id, true)
	c.Body = []byte(id) // no two are alike
	c.PromptParts = parts
	if crashes {
		c.R.Header.Set(headerCrash, "1")
	}
	f.mu.Lock()
	e := f.entries[f.random.IntN(len(f.entries))]
	f.mu.Unlock()
	return e.handle(t.Context(), c)
}

// knownAt returns when all entries must know the part that crashes endpoints.
func (f *crashFleet) knownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashesToKnow {
		return time.Time{}
	}
	return f.crashes[crashesToKnow-1].Add(spreadTime)
}

// sendsAfter returns how many requests with the crashing part reached endpoints after a
// time.
func (f *crashFleet) sendsAfter(t time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.sends {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Requests that differ in everything but one part of their prompts crash each endpoint
// that runs them, at all entries. Within spreadTime of the fifth crash no entry sends
// requests with that part any more, while requests that share the customer and the other
// parts are served.
func TestRequests_NotSentOnceAPromptPartCrashesEndpoints(t *testing.T) {
	for _, load := range []crashingLoad{
		{parts: []string{firstPart, crashingPart}, perSecond: 12},
		{parts: []string{firstPart, crashingPart}, perSecond: 1},
		{parts: []string{firstPart, crashingPart}, perSecond: 60},
		{parts: []string{crashingPart, firstPart}, perSecond: 12},
		{parts: []string{crashingPart}, perSecond: 12},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%v %d a second seed %d", load.parts, load.perSecond, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testCrashingPart(t, load, seed) })
			})
		}
	}
}

// crashingLoad describes the requests that crash endpoints.
type crashingLoad struct {
	parts     []string // of the prompt
	perSecond int
}

// Load of sound requests, in requests a second, and length of the test.
const (
	soundPerSecond  = 30
	crashTestLength = 20 * time.Second
)

func testCrashingPart(t *testing.T, load crashingLoad, seed uint64) {
	f := newCrashFleet(t, seed)
	defer f.running.Wait()
	defer f.stop()
	time.Sleep(time.Second)
	begun := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range int(crashTestLength.Seconds()) * load.perSecond {
			wg.Go(func() { f.send(t, fmt.Sprint("crashing-", n), load.parts, true) })
			time.Sleep(time.Second / time.Duration(load.perSecond))
		}
	})
	var mu sync.Mutex
	var late, served int
	for n := range int(crashTestLength.Seconds() * soundPerSecond) {
		wg.Go(func() {
			counted := time.Since(begun) > crashTestLength/2
			err := f.send(t, fmt.Sprint("sound-", n), []string{firstPart, fmt.Sprint("c", n%20)}, false)
			mu.Lock()
			defer mu.Unlock()
			if counted {
				late++
			}
			if counted && err == nil {
				served++
			}
		})
		time.Sleep(time.Second / soundPerSecond)
	}
	wg.Wait()
	known := f.knownAt()
	t.Logf("%d endpoints crashed, %d requests were sent late; %d of %d sound requests served", len(f.crashes), f.sendsAfter(known), served, late)
	if !known.IsZero() {
		f.Expect(f.sendsAfter(known)).To(gomega.BeNumerically("<=", toleratedSends), "%d endpoints crashed in all", len(f.crashes))
	}
	f.Expect(late).To(gomega.BeNumerically(">", 100))
	f.Expect(served).To(gomega.BeNumerically(">", late/2), "of %d sound requests", late)
}

package online

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/keyedlog"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// Bounds of the users' pages on a request that crashes endpoints: later than contactTime after
// the third crash it reaches an endpoint no more than toleratedSends times.
const (
	crashesToHold = 3
	contactTime   = 3 * time.Second
)

// Size and timing of a silentFleet.
const (
	silentEntries   = 3
	silentEndpoints = 9
	darkTime        = 4500 * time.Millisecond // until a silent endpoint starts again
	beatInterval    = 1200 * time.Millisecond
	readInterval    = 350 * time.Millisecond
)

// headerHarm says what a request does to the endpoint that runs it.
const headerHarm = "X-Harm"

// place is the address of an endpoint, with the incarnation that runs there.
type place struct {
	addr     string
	endpoint *streams.Endpoint
	startMs  int64
	dark     bool // it sends nothing, and opening packets are not answered
	down     bool // it refuses connections
	lastBeat time.Time
	beats    int
}

// silentFleet is a fleet of entries and endpoints in which endpoints fall silent and links are
// cut. It is used within a synctest bubble.
type silentFleet struct {
	*gomega.WithT
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	network *network.Network
	entries []*crashEntry
	mu      sync.Mutex
	places  []*place
	cut     func(entry int, addr string) bool // nil: no link is cut
	crashes []time.Time
	sends   []time.Time // harmful requests that reached endpoints

	served, denied, held int // harmless requests
}

func newSilentFleet(t *testing.T) *silentFleet {
	f := &silentFleet{WithT: gomega.NewWithT(t), t: t, network: network.New()}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for i := range silentEndpoints {
		f.places = append(f.places, &place{addr: address(i)})
		f.start(f.places[i])
	}
	log := keyed.NewLog(100)
	for i := range silentEntries {
		f.entries = append(f.entries, f.newEntry(i, log))
	}
	time.Sleep(time.Second)
	return f
}

func (f *silentFleet) newEntry(i int, log *keyed.Log) *crashEntry {
	s := newFleetEntry(f.t, f.network, i)
	handle := &keyed.Handle{Log: log}
	suspects := quarantine.NewSharedTable(handle, zerolog.Nop(), func(key string, err error) { f.t.Errorf("record %s: %v", key, err) })
	follower := keyedlog.NewFollower(handle, suspects, keyedlog.Options{Name: "suspects", MaxWait: 5 * time.Second, MinInterval: 500 * time.Millisecond, Clock: s.Clock})
	s.Suspects = suspects
	s.Silences = quarantine.NewSilences(suspects, s.Clock, zerolog.Nop(), prometheus.NewRegistry())
	s.Pool = upstream.NewPool(streams.HeaderID, func(ctx context.Context, addr string) (net.Conn, error) { return f.dial(ctx, i, addr) }, func() {})
	f.running.Go(func() { follower.Run(f.ctx) })
	f.running.Go(func() { suspects.Run(f.ctx) })
	f.running.Go(func() { f.follow(s) })
	return &crashEntry{Service: s, handle: pipeline.Chain(s.Handle, quarantine.Filter(suspects))}
}

// silent reports whether nothing passes between an entry and the endpoint at addr.
func (f *silentFleet) silent(entry int, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.places {
		if p.addr == addr && p.dark {
			return true
		}
	}
	return f.cut != nil && f.cut(entry, addr)
}

func (f *silentFleet) dial(ctx context.Context, entry int, addr string) (net.Conn, error) {
	if f.silent(entry, addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := f.network.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: c, silent: func() bool { return f.silent(entry, addr) }}, nil
}

// silentConn loses what is received while silent is true.
type silentConn struct {
	net.Conn
	silent func() bool
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// start starts a new incarnation at a place.
func (f *silentFleet) start(p *place) {
	e := newEndpoint(p.addr, nil)
	e.Events, e.Slots = 8, crashSlots
	e.BehaviourFor = func(r *http.Request, _ int) streams.Behaviour { return f.behave(p, r) }
	server := e.Serve(f.network.Listen(p.addr))
	f.t.Cleanup(func() { _ = server.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	p.endpoint, p.startMs, p.dark, p.down = e, p.startMs+1, false, false
	p.lastBeat, p.beats = time.Now(), p.beats+1
	f.running.Go(func() { f.beat(p, p.startMs) })
}

// behave plays what a request does to the endpoint at p.
func (f *silentFleet) behave(p *place, r *http.Request) streams.Behaviour {
	switch r.Header.Get(headerHarm) {
	case "silence":
		f.recordSend(p, func() { p.dark = true })
		f.running.Go(func() { f.restart(p) })
		_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of a connection after the body
		<-r.Context().Done()
	case "close":
		f.recordSend(p, func() { p.down = true })
		f.running.Go(func() { f.restart(p) })
		return streams.Behaviour{Crash: true}
	case "slow":
		time.Sleep(1500 * time.Millisecond)
	}
	return streams.Behaviour{}
}

func (f *silentFleet) recordSend(p *place, crash func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, time.Now())
	if !p.dark && !p.down {
		f.crashes = append(f.crashes, time.Now())
	}
	crash()
}

// restart starts the endpoint at p again after darkTime.
func (f *silentFleet) restart(p *place) {
	time.Sleep(darkTime)
	f.mu.Lock()
	server := p.endpoint
	f.mu.Unlock()
	server.Close()
	if f.ctx.Err() == nil {
		f.start(p)
	}
}

// beat registers an incarnation every heartbeat while it is up.
func (f *silentFleet) beat(p *place, startMs int64) {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		if p.startMs != startMs || p.dark || p.down {
			f.mu.Unlock()
			return
		}
		p.lastBeat = time.Now()
		p.beats++
		f.mu.Unlock()
		time.Sleep(beatInterval)
	}
}

// follow gives an entry what is registered: incarnations that were heard of within three
// heartbeats.
func (f *silentFleet) follow(s *Service) {
	seen := make(map[string]int)
	readFrom := s.Clock()
	for f.ctx.Err() == nil {
		now := s.Clock()
		list, beaten := f.registered(seen)
		s.Table.SetEndpoints(list)
		for _, e := range beaten {
			s.Silences.Registered(e.ID, e.StartMs, readFrom)
		}
		s.Silences.SetListed(func(id string, startMs int64) bool {
			for _, e := range list {
				if e.ID == id && e.StartMs == startMs {
					return true
				}
			}
			return false
		})
		readFrom = now
		time.Sleep(readInterval)
	}
}

// registered returns the registered endpoints, and those that have registered since the
// numbers of registrations in seen, which it updates.
func (f *silentFleet) registered(seen map[string]int) (list, beaten []placement.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.places {
		if time.Since(p.lastBeat) > 3*beatInterval {
			continue
		}
		e := placement.Endpoint{ID: p.addr, StartMs: p.startMs, Address: p.addr, Deployment: "lm", DataCentre: "a", Slots: crashSlots}
		list = append(list, e)
		if seen[p.addr] != p.beats {
			beaten = append(beaten, e)
			seen[p.addr] = p.beats
		}
	}
	return list, beaten
}

// send sends a request at an entry and returns the error, or nil if it was served. The caller
// gives up after two seconds without an answer.
func (f *silentFleet) send(entry int, id, body, harm string, resumable bool) *api.Error {
	c, _ := newCall(id, resumable)
	c.Body = []byte(body)
	if harm != "" {
		c.R.Header.Set(headerHarm, harm)
	}
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	return f.entries[entry].handle(ctx, c)
}

// sendHarmless sends harmless requests, of which many are the same, for d.
func (f *silentFleet) sendHarmless(d time.Duration, harm string) {
	const interval, bodies = 10 * time.Millisecond, 12
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for n := range int(d / interval) {
		entry, body := random.IntN(silentEntries), fmt.Sprint("question ", random.IntN(bodies))
		wg.Go(func() { f.count(f.send(entry, fmt.Sprint("sound-", n), body, harm, true)) })
		time.Sleep(interval)
	}
	wg.Wait()
}

func (f *silentFleet) count(err *api.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.served++
	case err.Code == api.CodeQuarantined:
		f.denied++
	case err.Code == api.CodeHeld:
		f.held++
	}
}

// sendHarmful sends the same harmful request again and again, at the entries in turn.
func (f *silentFleet) sendHarmful(harm string, resumable bool, times int) {
	var wg sync.WaitGroup
	for n := range times {
		wg.Go(func() { f.send(n%silentEntries, fmt.Sprint("harmful-", n), "harmful", harm, resumable) })
		time.Sleep(1500 * time.Millisecond)
	}
	wg.Wait()
}

// lateSends returns how many harmful requests reached endpoints later than they may.
func (f *silentFleet) lateSends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashesToHold {
		return 0
	}
	n := 0
	for _, at := range f.sends {
		if at.After(f.crashes[crashesToHold-1].Add(contactTime)) {
			n++
		}
	}
	return n
}

// playSilence plays a scenario of a silentFleet.
func playSilence(t *testing.T, scenario func(f *silentFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSilentFleet(t)
		defer f.running.Wait()
		defer f.stop()
		scenario(f)
		t.Logf("%d endpoints crashed, %d harmful requests sent late; harmless: %d served, %d denied, %d held back",
			len(f.crashes), f.lateSends(), f.served, f.denied, f.held)
	})
}

// Guards against a request that goes on to one endpoint after the other, as it makes them fall
// silent or close their connections (BUDGET).
func TestRequest_HeldBackOnceEndpointsCrashOrFallSilent(t *testing.T) {
	for _, harm := range []string{"silence", "close"} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable %t", harm, resumable), func(t *testing.T) {
				playSilence(t, func(f *silentFleet) {
					f.running.Go(func() { f.sendHarmful(harm, resumable, 20) })
					f.sendHarmless(30*time.Second, "")
					f.Expect(len(f.crashes)).To(gomega.BeNumerically(">=", crashesToHold))
					f.Expect(f.lateSends()).To(gomega.BeNumerically("<=", toleratedSends), "%d crashes", len(f.crashes))
					f.Expect(f.denied + f.held).To(gomega.BeZero())
					f.Expect(f.served).To(gomega.BeNumerically(">", 2500), "of 3000")
				})
			})
		}
	}
}

// Guards against harmless requests that are held back (DENIED) as endpoints are silent for
// another reason: links that are cut, single and of a whole entry, endpoints that are slow, an
// entry that was suspended, and endpoints that lose their power.
func TestRequest_HarmlessOnesNotHeldBackBySilences(t *testing.T) {
	for name, trouble := range map[string]func(f *silentFleet){
		"links cut": func(f *silentFleet) {
			for n := range 5 {
				f.setCut(func(entry int, addr string) bool { return entry == n%silentEntries && addr <= address(2) })
				time.Sleep(2500 * time.Millisecond)
				f.setCut(nil)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"entry cut off": func(f *silentFleet) {
			for n := range 5 {
				f.setCut(func(entry int, _ string) bool { return entry == n%silentEntries })
				time.Sleep(2500 * time.Millisecond)
				f.setCut(nil)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"power lost": func(f *silentFleet) {
			for n := range 5 {
				p := f.places[n]
				f.mu.Lock()
				p.dark = true
				f.mu.Unlock()
				f.running.Go(func() { f.restart(p) })
				time.Sleep(4 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			playSilence(t, func(f *silentFleet) {
				f.running.Go(func() { trouble(f) })
				f.sendHarmless(20*time.Second, "")
				f.Expect(f.denied).To(gomega.BeZero())
				f.Expect(f.held).To(gomega.BeZero())
				f.Expect(f.served).To(gomega.BeNumerically(">", 1000), "of 2000")
			})
		})
	}
	t.Run("slow endpoints", func(t *testing.T) {
		playSilence(t, func(f *silentFleet) {
			f.sendHarmless(5*time.Second, "slow")
			f.Expect(f.denied + f.held).To(gomega.BeZero())
		})
	})
}

func (f *silentFleet) setCut(cut func(entry int, addr string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

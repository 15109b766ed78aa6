package authn_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/pipeline"
)

var seeds = flag.Uint64("seeds", 20, "number of seeds of the randomised runs")

const keysInRun = 8

func keyText(i int) string { return fmt.Sprintf("dr_random_key_%d", i) }

// gate is an entry's key check with a state that changes while calls run.
type gate struct {
	holder   config.Holder
	sessions *authn.ActiveCalls
	handle   pipeline.Handler
}

// newGate returns a gate before last.
func newGate(checks *invariant.Set, last pipeline.Handler) *gate {
	g := &gate{sessions: authn.NewActiveCalls(checks)}
	state := &config.State{Customers: map[string]config.Customer{"north": {Rate: 1, Burst: 1}}, Keys: map[string]config.Key{}}
	for i := range keysInRun {
		state.Keys[fmt.Sprint("k", i)] = config.Key{Customer: "north", Digest: authn.Digest(keyText(i))}
	}
	g.set(state)
	guard := &authn.Authorizer{Source: &g.holder, ActiveCalls: g.sessions, Invariants: checks}
	g.handle = pipeline.Chain(last, authn.Identify(&g.holder), guard.Authorize())
	return g
}

func (g *gate) set(state *config.State) {
	s := config.NewSnapshot(g.holder.Current().Version+1, state)
	g.holder.Set(s)
	g.sessions.CancelInvalid(s, time.Now())
}

func (g *gate) withdraw(i int) {
	state := *g.holder.Current().State
	state.Keys = maps.Clone(state.Keys)
	id := fmt.Sprint("k", i)
	k := state.Keys[id]
	k.Withdrawn = true
	state.Keys[id] = k
	g.set(&state)
}

func newCall(i int) *pipeline.Call {
	r := httptest.NewRequest("POST", "/x", nil)
	r.Header.Set("Authorization", "Bearer "+keyText(i))
	return &pipeline.Call{W: httptest.NewRecorder(), R: r, ID: "call", Received: time.Now()}
}

// streams runs for a random time, or until it is cancelled and then as long
// as it takes to stop.
func streams(rnd *rand.Rand, mu *sync.Mutex) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		mu.Lock()
		length := time.Duration(rnd.IntN(20_000)) * time.Millisecond
		lag := time.Duration(rnd.IntN(500)) * time.Millisecond
		c.ResponseStarted = rnd.IntN(2) == 0
		mu.Unlock()
		select {
		case <-time.After(length):
			return nil
		case <-ctx.Done():
			time.Sleep(lag)
			return api.NewError(502, api.CodeEndpointLost, "cancelled").WithOutcome(api.Unknown)
		}
	}
}

// TestWithdrawnKeyStopsRunningCalls withdraws keys at random while streams
// run, and wants exactly the calls of those keys to end.
func TestWithdrawnKeyStopsRunningCalls(t *testing.T) {
	var stopped, whole atomic.Int64
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex // guards rnd
			checks := invariant.New(func(v invariant.Violation) { t.Errorf("seed %d: %v", seed, v) })
			gate := newGate(checks, streams(rnd, &mu))
			go gate.sessions.Run(t.Context())
			var withdrawn [keysInRun]atomic.Int64 // time in ns
			var all sync.WaitGroup
			for range 200 {
				mu.Lock()
				key, pick := rnd.IntN(keysInRun), rnd.IntN(40)
				pauseFor := time.Duration(rnd.IntN(300)) * time.Millisecond
				mu.Unlock()
				if pick == 0 && withdrawn[key].Load() == 0 {
					// The time comes first: a call may end before withdraw returns.
					withdrawn[key].Store(time.Now().UnixNano())
					gate.withdraw(key)
				}
				all.Go(func() {
					was := withdrawn[key].Load()
					err := gate.handle(t.Context(), newCall(key))
					ended := time.Now().UnixNano()
					now := withdrawn[key].Load()
					switch {
					case was != 0:
						g.Expect(err).NotTo(gomega.BeNil())
						g.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
					case err != nil:
						g.Expect(now).NotTo(gomega.BeZero(), "a call with a valid key was stopped")
						g.Expect(err.Code).To(gomega.Equal(api.CodeBadKey))
						stopped.Add(1)
					default:
						whole.Add(1)
					}
					if now != 0 && was == 0 {
						g.Expect(time.Duration(ended - now)).To(gomega.BeNumerically("<=", authn.MaxCancelDelay))
					}
				})
				time.Sleep(pauseFor)
			}
			all.Wait()
			g.Expect(gate.sessions.Len()).To(gomega.BeZero())
		})
	}
	t.Logf("%d calls stopped, %d answered whole", stopped.Load(), whole.Load())
	g := gomega.NewWithT(t)
	g.Expect(stopped.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(whole.Load()).To(gomega.BeNumerically(">", 0))
}

// TestWithdrawalBetweenLookupAndRegistration changes the state after Identify
// and before Authorize.
func TestWithdrawalBetweenLookupAndRegistration(t *testing.T) {
	g := gomega.NewWithT(t)
	ran := false
	checks := invariant.New(func(v invariant.Violation) { t.Error(v) })
	gate := newGate(checks, nil)
	guard := &authn.Authorizer{Source: &gate.holder, ActiveCalls: gate.sessions, Invariants: checks}
	between := func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			gate.withdraw(3)
			return next(ctx, c)
		}
	}
	last := func(context.Context, *pipeline.Call) *api.Error { ran = true; return nil }
	handle := pipeline.Chain(last, authn.Identify(&gate.holder), between, guard.Authorize())
	c := newCall(3)
	err := handle(t.Context(), c)
	g.Expect(err).NotTo(gomega.BeNil())
	g.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
	g.Expect(ran).To(gomega.BeFalse())
	g.Expect(c.W.Header().Get("Connection")).To(gomega.Equal("close"))
}

// TestStaleEntryRefusesKeyedRoutes sets a bound on the time without word from
// the log.
func TestStaleEntryRefusesKeyedRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate(nil, nil)
	age := time.Minute
	guard := &authn.Authorizer{
		Source: &gate.holder, ActiveCalls: gate.sessions,
		MaxStaleness: 2 * time.Minute,
		Staleness:    func(time.Time) time.Duration { return age },
	}
	last := func(context.Context, *pipeline.Call) *api.Error { return nil }
	handle := pipeline.Chain(last, authn.Identify(&gate.holder), guard.Authorize())
	g.Expect(handle(t.Context(), newCall(1))).To(gomega.BeNil())
	age = 3 * time.Minute
	err := handle(t.Context(), newCall(1))
	g.Expect(err).NotTo(gomega.BeNil())
	g.Expect(err.Code).To(gomega.Equal(api.CodeConfigStale))
	g.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
	open := newCall(1)
	open.Route.Open = true
	g.Expect(handle(t.Context(), open)).To(gomega.BeNil())
	guard.MaxStaleness = 0
	g.Expect(handle(t.Context(), newCall(1))).To(gomega.BeNil())
}

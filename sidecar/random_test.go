package sidecar_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/standin/engine"
)

var seeds = flag.Int("seeds", 10, "number of seeds of TestSidecar_RandomFaults")

// faults lists the faults of randomised runs.
var faults = []string{
	"none", "entry_disconnect", "crash", "poison", "pause", "slow", "owner_down", "cancel", "slots", "refused",
}

// chaosRun is one randomised run: online requests and batch items with injected
// faults, then a drain with work in flight.
type chaosRun struct {
	*fixture
	engine       *engine.Engine
	owner        *fakeOwner
	activeFaults map[string]bool // faults of this run

	mu         sync.Mutex
	rnd        *rand.Rand
	drainStart time.Time // zero before the drain starts
	group      sync.WaitGroup
}

func (c *chaosRun) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chaosRun) drainStartTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainStart
}

func (c *chaosRun) prompt(i int) string {
	p := fmt.Sprintf("question %d %s", i, strings.Repeat("seed ", c.intN(100)))
	if c.activeFaults["poison"] && c.intN(40) == 0 {
		p += "poison"
	}
	return p
}

// losesEndpoint reports whether a fault of the run makes the endpoint crash or
// unreachable.
func (c *chaosRun) losesEndpoint() bool {
	return c.activeFaults["crash"] || c.activeFaults["poison"] || c.activeFaults["refused"]
}

// sendOnline sends one request and checks the response against what the engine
// ran.
func (c *chaosRun) sendOnline(i int) {
	id := fmt.Sprint("r", i)
	tokens := 1 + c.intN(60)
	body := chat(c.prompt(i), tokens)
	body.Stream = c.intN(2) == 0
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Minute)
	defer cancel()
	faulty := c.losesEndpoint()
	if c.activeFaults["entry_disconnect"] && c.intN(4) == 0 {
		faulty = true
		time.AfterFunc(time.Duration(c.intN(500))*time.Millisecond, cancel)
	}
	deadline := 500 + c.intN(10_000)
	sent := time.Now()
	got := c.result(ctx, call{
		id: id, customer: fmt.Sprint("c", c.intN(4)), body: body,
		header: map[string]string{api.HeaderDeadline: fmt.Sprint(deadline)},
	})
	runs := c.engine.Runs(id)
	if runs > 1 {
		c.t.Errorf("%s ran %d times", id, runs)
	}
	if time.Since(sent) > time.Duration(deadline+100)*time.Millisecond {
		c.t.Errorf("%s got a response %s after it was sent, deadline %d ms", id, time.Since(sent), deadline)
	}
	if got.failure != nil {
		if got.failure.Outcome == api.NotRun && runs > 0 {
			c.t.Errorf("%s ran, but its outcome is not_run", id)
		}
		if got.failure.Status == http.StatusServiceUnavailable && got.failure.Outcome != api.NotRun {
			c.t.Errorf("%s was refused with outcome %s, want not_run", id, got.failure.Outcome)
		}
		return
	}
	if got.truncated {
		late := time.Since(sent) >= time.Duration(deadline)*time.Millisecond
		if !faulty && !late {
			c.t.Errorf("response to %s was truncated without a fault", id)
		}
		return
	}
	if want := engine.ResponseText(&body, tokens); got.status == http.StatusOK && text(got.body) != want {
		c.t.Errorf("%s got %q, want %q", id, text(got.body), want)
	}
	if start := c.drainStartTime(); !start.IsZero() && sent.After(start) {
		c.t.Errorf("%s was sent after the drain started, and ran", id)
	}
}

func (c *chaosRun) addItem(i int) {
	w := work(i, chat(c.prompt(1_000_000+i), 1+c.intN(300)))
	w.Idempotent = c.intN(5) > 0
	c.owner.add(w)
}

// injectFaults injects each fault of the run with probability 1/2, for up to 2 s.
func (c *chaosRun) injectFaults() {
	duration := time.Duration(c.intN(2000)) * time.Millisecond
	for _, name := range faults {
		if !c.activeFaults[name] || c.intN(2) == 0 {
			continue
		}
		switch name {
		case "crash":
			c.engine.Crash()
		case "pause":
			c.engine.SetPaused(true)
			defer c.engine.SetPaused(false)
		case "slow":
			c.engine.SetSlowdown(10)
			defer c.engine.SetSlowdown(1)
		case "owner_down":
			c.owner.setDown(true)
			defer c.owner.setDown(false)
		case "cancel":
			c.owner.cancelItem(c.intN(20))
		case "slots":
			c.setSlots(1 + c.intN(8))
		case "refused":
			c.net.SetRefusing(endpointAddr, true)
			c.net.CloseConnections(endpointAddr)
			defer c.net.SetRefusing(endpointAddr, false)
		}
	}
	time.Sleep(duration)
}

// checkItems checks the results of all items after the drain.
func (c *chaosRun) checkItems() {
	for i := range 60 {
		final, states := c.owner.final(i)
		done := 0
		for _, state := range states {
			if state == api.ResultDone {
				done++
			}
		}
		if done > 1 {
			c.t.Errorf("item %d completed %d times", i, done)
		}
		w, known := c.owner.item(i)
		if !known {
			continue
		}
		if !w.Idempotent && c.owner.engineRuns(i, c.engine) > 1 {
			c.t.Errorf("non-idempotent item %d started more than once", i)
		}
		if final.State == api.ResultUnknown && !c.losesEndpoint() && !c.activeFaults["cancel"] {
			c.t.Errorf("outcome of item %d is unknown without a fault", i)
		}
		if final.State == api.ResultDone && final.Status == http.StatusOK {
			req := request(w)
			if got, want := batchText(c.t, final), engine.ResponseText(&req, req.MaxTokens); got != want {
				c.t.Errorf("item %d got %q, want %q", i, got, want)
			}
		}
	}
}

func (c *chaosRun) run() {
	c.runBatch()
	for i := range 60 {
		c.addItem(i)
	}
	for i := range 150 {
		c.group.Go(func() { c.sendOnline(i) })
		if c.intN(3) > 0 { // bursts
			time.Sleep(time.Duration(c.intN(120)) * time.Millisecond)
		}
		if i%20 == 10 {
			c.injectFaults()
		}
	}
	c.mu.Lock()
	c.drainStart = time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Minute)
	defer cancel()
	c.group.Go(func() {
		time.Sleep(time.Millisecond)
		for i := range 20 {
			c.sendOnline(1000 + i)
		}
	})
	if err := c.sidecar.Drain(ctx); err != nil {
		c.t.Errorf("drain: %v", err)
	}
	synctest.Wait()
	c.sidecar.Close() // checks the invariant that no work is in flight
	if n := c.engine.InFlight(); n > 0 {
		c.t.Errorf("%d requests run at the engine after the drain", n)
	}
	if n := c.owner.assignedCount(); n > 0 {
		c.t.Errorf("%d items were neither reported nor returned", n)
	}
	c.group.Wait()
	c.checkItems()
}

// TestSidecar_RandomFaults injects up to two faults per seed into a mix of online
// requests and batch items. It guards against repeated runs, wrong outcomes, late
// or wrong responses, and work lost or cancelled by the drain.
func TestSidecar_RandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(seed), 2))
				c := &chaosRun{rnd: r, owner: newFakeOwner(), activeFaults: map[string]bool{
					faults[seed%len(faults)]:    true,
					faults[r.IntN(len(faults))]: true,
				}}
				c.engine = newEngine(t, engine.Options{CrashMarker: "poison", OnCrash: func() {
					c.group.Go(func() {
						time.Sleep(300 * time.Millisecond)
						c.engine.Restart()
					})
				}})
				c.fixture = newFixture(t, c.engine, modelDeployment(1+r.IntN(6)), withBatch(c.owner))
				c.run()
				if t.Failed() {
					t.Logf("faults: %v", c.activeFaults)
				}
			})
		})
	}
}

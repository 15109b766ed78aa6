package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/engine"
)

// suspectFaults are the sets of faults that occur while requests crash engines.
var suspectFaults = [][]fault{
	nil,
	{{name: "entry killed", run: killEntries}},
	{{name: "sidecar killed", run: killSidecars}},
	{{name: "entry killed", run: killEntries}, {name: "sidecar killed", run: killSidecars}},
	{{name: "connections closed", run: closeConnections}},
	{{name: "log down", run: logDown}},
}

// TestQuarantine_SparesHarmlessRequests sends requests that crash engines and
// harmless ones repeatedly, in both lanes. The harmless ones must not be
// quarantined, and the number of crashes must stay bounded.
func TestQuarantine_SparesHarmlessRequests(t *testing.T) {
	for _, set := range suspectFaults {
		for seed := range *seeds {
			t.Run(fmt.Sprintf("%s/seed %d", setName(set), seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runSuspects(t, set, uint64(seed)) })
			})
		}
	}
}

// crashingRequests is the number of different requests that crash engines. Each is
// sent online, repeatedly, and as one item of a job.
const crashingRequests = 3

// crashingRequest returns the n-th request that crashes engines.
func crashingRequest(n int) api.ChatRequest {
	return api.ChatRequest{Model: model, MaxTokens: 16, Messages: []api.Message{{Role: "user", Content: fmt.Sprintf("%s %d", crashMarker, n)}}}
}

// runSuspects runs the simulation of one set of faults with 8 endpoints.
func runSuspects(t *testing.T, set []fault, seed uint64) {
	sim := newSimulation(t, seed, nil)
	defer sim.fleet.Close()
	for range 5 {
		sim.addEndpoint()
	}
	time.Sleep(startupDelay)
	sim.start = time.Now()
	stop := make(chan struct{})
	var supervisor sync.WaitGroup
	supervisor.Go(func() { sim.restartEngines(stop) })
	var wg sync.WaitGroup
	for _, f := range set {
		wg.Go(func() { f.run(sim) })
	}
	for n := range crashingRequests {
		wg.Go(func() { sim.sendRepeatedly("museum", crashingRequest(n), 3*time.Second) })
	}
	var latencies []time.Duration
	wg.Go(func() { latencies = sim.sendHarmlessChats("garden") })
	var mixed, harmless job
	wg.Go(func() {
		time.Sleep(time.Duration(sim.intn(20)) * time.Second)
		mixed = sim.submitRequests("museum", "mixed", 60, func(i int) api.ChatRequest {
			if i%20 == 7 {
				return crashingRequest(i / 20)
			}
			return itemRequest("mixed", i)
		})
	})
	wg.Go(func() { harmless = sim.submitJob("station", "pure", 150) })
	wg.Wait()
	sim.logLatencies(latencies)
	sim.awaitJob(mixed, "completed")
	sim.awaitJob(harmless, "completed")
	close(stop)
	supervisor.Wait()
	sim.checkResults(harmless, "pure")
	sim.checkMixed(mixed)
	sim.checkCrashes(set)
}

// restartEngines restarts crashed engines every 2 s, as a process supervisor does,
// until stop is closed.
func (sim *simulation) restartEngines(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		sim.mu.Lock()
		engines := sim.engines
		sim.mu.Unlock()
		for _, e := range engines {
			e.Restart()
		}
	}
}

// sendRepeatedly sends a request to random entries until the load ends, with
// random pauses shorter than pause.
func (sim *simulation) sendRepeatedly(customer string, r api.ChatRequest, pause time.Duration) {
	body, err := json.Marshal(r)
	sim.must(err)
	time.Sleep(time.Duration(sim.intn(int(5 * time.Second))))
	for time.Since(sim.start) < faultDuration {
		sim.send(customer, http.MethodPost, "/v1/chat/completions", "application/json", "", body)
		time.Sleep(time.Duration(sim.intn(int(pause))))
	}
}

// sendHarmlessChats sends 12 different harmless chats repeatedly and concurrently,
// none of which may be refused as quarantined. It returns the latencies of the
// completed ones.
func (sim *simulation) sendHarmlessChats(customer string) (latencies []time.Duration) {
	var mu sync.Mutex
	sim.every(200*time.Millisecond, func(n int) {
		start := time.Now()
		result := sim.sendChat(customer, fmt.Sprintf("innocent %d", n%12), n%2 == 0)
		if result.err != nil && result.err.Code == api.CodeQuarantined {
			sim.t.Errorf("a harmless request was refused as quarantined")
		}
		if result.err != nil {
			sim.t.Logf("after %v: harmless request %d: %v", start.Sub(sim.start).Round(time.Millisecond), n%12, result.err)
		}
		mu.Lock()
		defer mu.Unlock()
		if result.err == nil && !result.incomplete {
			latencies = append(latencies, time.Since(start))
		}
	})
	return latencies
}

// logLatencies logs the latencies of harmless requests.
func (sim *simulation) logLatencies(latencies []time.Duration) {
	sim.logStats()
	slices.Sort(latencies)
	sim.t.Logf("latency of harmless requests: p50 %v, p99 %v, max %v", latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1])
}

// checkMixed checks that in the mixed job only the items that crash engines failed.
func (sim *simulation) checkMixed(j job) {
	n := 0
	for line := range strings.Lines(sim.jobResults(j)) {
		var result struct {
			CustomID string `json:"custom_id"`
			Error    *struct{ Code string }
			Response *struct{ Body api.ChatResponse }
		}
		sim.must(json.Unmarshal([]byte(line), &result))
		var item int
		_, err := fmt.Sscan(result.CustomID, &item)
		sim.must(err)
		n++
		if item%20 == 7 {
			if result.Error == nil || result.Error.Code != "crashed_endpoints" {
				sim.t.Errorf("item %d, which crashes engines, has the result %s", item, line)
			}
			continue
		}
		r := itemRequest("mixed", item)
		if result.Response == nil || len(result.Response.Body.Choices) != 1 || result.Response.Body.Choices[0].Message.Content != engine.ResponseText(&r, r.MaxTokens) {
			sim.t.Errorf("harmless item %d has the result %s", item, line)
		}
	}
	if n != j.items {
		sim.t.Errorf("%d results for %d items", n, j.items)
	}
}

// checkCrashes checks the number of crashes of engines. In addition to the crashes
// needed to quarantine a request, one copy of it may run in the other lane before
// the first crash is known. With faults the higher threshold applies, as the loss
// of an entry or a sidecar may lose the record of a crash.
func (sim *simulation) checkCrashes(set []fault) {
	crashed := sim.crashes()
	bound := crashingRequests * (quarantine.SoloCrashThreshold + 1)
	if len(set) > 0 {
		bound = crashingRequests * (quarantine.CrashThreshold + 1)
	}
	sim.t.Logf("%d crashes of engines by %d requests in two lanes", crashed, crashingRequests)
	if crashed > bound {
		sim.t.Errorf("%d crashes of engines, the bound is %d", crashed, bound)
	}
}

// Requests of one customer that are all different share a message that crashes engines.
// Other requests of the customer share all their other messages.
const (
	sharedMessage  = "You help the visitors of a museum."
	harmlessExtra  = "The exhibition of clocks."
	crashesToKnow  = 5               // crashes of engines after which the message must become known
	spreadTime     = 3 * time.Second // from the last of them until all entries must know it
	lateCrashBound = 3
)

// TestQuarantine_CrashingMessageSharedByDifferentRequests checks that engines stop
// crashing once the message is known, and that the other requests are served.
func TestQuarantine_CrashingMessageSharedByDifferentRequests(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCrashingMessage(t, uint64(seed)) })
		})
	}
}

func runCrashingMessage(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, nil)
	defer sim.fleet.Close()
	for range 5 {
		sim.addEndpoint()
	}
	time.Sleep(startupDelay)
	sim.start = time.Now()
	stop := make(chan struct{})
	var background, wg sync.WaitGroup
	background.Go(func() { sim.restartEngines(stop) })
	var late int
	background.Go(func() { late = sim.countLateCrashes(stop) })
	wg.Go(func() {
		sim.every(300*time.Millisecond, func(n int) { sim.sendMessages(sharedMessage, crashMarker, fmt.Sprint("question ", n)) })
	})
	var mu sync.Mutex
	served, sent := 0, 0
	wg.Go(func() {
		sim.every(300*time.Millisecond, func(n int) {
			result := sim.sendMessages(sharedMessage, harmlessExtra, fmt.Sprint("question ", n))
			mu.Lock()
			defer mu.Unlock()
			sent++
			if result.err == nil && !result.incomplete {
				served++
			} else if result.err != nil && result.err.Code == api.CodeQuarantined {
				sim.t.Errorf("a harmless request was refused as quarantined")
			}
		})
	})
	wg.Wait()
	close(stop)
	background.Wait()
	t.Logf("%d engines crashed late, %d of %d harmless requests were served", late, served, sent)
	if late > lateCrashBound {
		t.Errorf("%d engines crashed later than %v after crash %d, the bound is %d", late, spreadTime, crashesToKnow, lateCrashBound)
	}
	if served < sent*9/10 {
		t.Errorf("%d of %d harmless requests were served", served, sent)
	}
}

// sendMessages sends a chat of user messages to a random entry.
func (sim *simulation) sendMessages(contents ...string) callResult {
	r := api.ChatRequest{Model: model, MaxTokens: 16}
	for _, content := range contents {
		r.Messages = append(r.Messages, api.Message{Role: "user", Content: content})
	}
	body, err := json.Marshal(r)
	sim.must(err)
	return sim.send("museum", http.MethodPost, "/v1/chat/completions", "application/json", "", body)
}

// countLateCrashes returns the number of crashes of engines later than spreadTime after
// crash crashesToKnow, until stop is closed.
func (sim *simulation) countLateCrashes(stop chan struct{}) int {
	var known time.Time
	before, crashed := 0, 0
	for {
		select {
		case <-stop:
			if known.IsZero() {
				return 0
			}
			return crashed - before
		case <-time.After(50 * time.Millisecond):
		}
		crashed = sim.crashes()
		if known.IsZero() && crashed >= crashesToKnow {
			known = time.Now().Add(spreadTime)
		}
		if !known.IsZero() && time.Now().Before(known) {
			before = crashed
		}
	}
}

// crashes returns the number of crashes of engines so far.
func (sim *simulation) crashes() int {
	sim.mu.Lock()
	engines := sim.engines
	sim.mu.Unlock()
	n := 0
	for _, e := range engines {
		n += int(e.Stats().Crashes)
	}
	return n
}

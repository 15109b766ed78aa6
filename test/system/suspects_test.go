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

// suspectFaults go on beside requests that crash engines.
var suspectFaults = [][]fault{
	nil,
	{{name: "entry killed", run: killEntries}},
	{{name: "sidecar killed", run: killSidecars}},
	{{name: "entry killed", run: killEntries}, {name: "sidecar killed", run: killSidecars}},
	{{name: "connections cut", run: cutConnections}},
	{{name: "log down", run: logDown}},
}

// TestCrashersAndInnocents runs requests that crash engines beside innocent
// ones, in both lanes, and sends all of them again.
func TestCrashersAndInnocents(t *testing.T) {
	for _, set := range suspectFaults {
		for seed := range *seeds {
			t.Run(fmt.Sprintf("%s/seed %d", names(set), seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runSuspects(t, set, uint64(seed)) })
			})
		}
	}
}

// crashers is the number of different requests that crash engines, each of
// them online and in a job.
const crashers = 3

// crasher returns a request that crashes engines.
func crasher(n int) api.ChatRequest {
	return api.ChatRequest{Model: model, MaxTokens: 16, Messages: []api.Message{{Role: "user", Content: fmt.Sprintf("%s %d", poison, n)}}}
}

func runSuspects(t *testing.T, set []fault, seed uint64) {
	w := newWorld(t, seed, nil)
	defer w.fleet.Close()
	for range 5 {
		w.addEndpoint()
	}
	time.Sleep(settle)
	w.start = time.Now()
	stop := make(chan struct{})
	var supervisor sync.WaitGroup
	supervisor.Go(func() { w.restartEngines(stop) })
	var wg sync.WaitGroup
	for _, f := range set {
		wg.Go(func() { f.run(w) })
	}
	for n := range crashers {
		wg.Go(func() { w.resend("museum", crasher(n), 3*time.Second) })
	}
	var took []time.Duration
	wg.Go(func() { took = w.resendInnocents("garden") })
	var mixed, pure job
	wg.Go(func() {
		time.Sleep(time.Duration(w.intn(20)) * time.Second)
		mixed = w.submitRequests("museum", "mixed", 60, func(i int) api.ChatRequest {
			if i%20 == 7 {
				return crasher(i / 20)
			}
			return itemRequest("mixed", i)
		})
	})
	wg.Go(func() { pure = w.submit("station", "pure", 150) })
	wg.Wait()
	w.reportWaits(took)
	w.await(mixed, "completed")
	w.await(pure, "completed")
	close(stop)
	supervisor.Wait()
	w.checkResults(pure, "pure")
	w.checkMixed(mixed)
	w.checkCrashes(set)
}

// restartEngines restarts crashed engines after two seconds, as a supervisor
// does.
func (w *world) restartEngines(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		w.mu.Lock()
		engines := w.engines
		w.mu.Unlock()
		for _, e := range engines {
			e.Restart()
		}
	}
}

// resend sends a request again and again through any entry.
func (w *world) resend(customer string, r api.ChatRequest, pause time.Duration) {
	body, err := json.Marshal(r)
	w.must(err)
	time.Sleep(time.Duration(w.intn(int(5 * time.Second))))
	for time.Since(w.start) < faultsFor {
		w.send(customer, http.MethodPost, "/v1/chat/completions", "application/json", "", body)
		time.Sleep(time.Duration(w.intn(int(pause))))
	}
}

// resendInnocents sends a few requests again and again, each of them beside
// the others; none may be refused as quarantined. It returns how long each
// answer took.
func (w *world) resendInnocents(customer string) (took []time.Duration) {
	var mu sync.Mutex
	w.every(200*time.Millisecond, func(n int) {
		began := time.Now()
		a := w.chat(customer, fmt.Sprintf("innocent %d", n%12), n%2 == 0)
		if a.err != nil && a.err.Code == api.CodeQuarantined {
			w.t.Errorf("an innocent request is refused as quarantined")
		}
		if a.err != nil {
			w.t.Logf("after %v: innocent %d: %v", began.Sub(w.start).Round(time.Millisecond), n%12, a.err)
		}
		mu.Lock()
		defer mu.Unlock()
		if a.err == nil && !a.cut {
			took = append(took, time.Since(began))
		}
	})
	return took
}

// reportWaits prints how long innocent requests took.
func (w *world) reportWaits(took []time.Duration) {
	w.report()
	slices.Sort(took)
	w.t.Logf("innocent requests: p50 %v, p99 %v, most %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
}

// checkMixed checks that of the mixed job the crashers alone failed.
func (w *world) checkMixed(j job) {
	n := 0
	for line := range strings.Lines(w.results(j)) {
		var result struct {
			CustomID string `json:"custom_id"`
			Error    *struct{ Code string }
			Response *struct{ Body api.ChatResponse }
		}
		w.must(json.Unmarshal([]byte(line), &result))
		var item int
		_, err := fmt.Sscan(result.CustomID, &item)
		w.must(err)
		n++
		if item%20 == 7 {
			if result.Error == nil || result.Error.Code != "crashed_endpoints" {
				w.t.Errorf("the crasher %d ended as %s", item, line)
			}
			continue
		}
		r := itemRequest("mixed", item)
		if result.Response == nil || len(result.Response.Body.Choices) != 1 || result.Response.Body.Choices[0].Message.Content != engine.ResponseText(&r, r.MaxTokens) {
			w.t.Errorf("the innocent item %d ended as %s", item, line)
		}
	}
	if n != j.items {
		w.t.Errorf("%d results for %d items", n, j.items)
	}
}

// checkCrashes checks how many engines crashed. Beside the deaths that it takes
// to quarantine a crasher, one copy may run in the other lane before the first
// death is known, and each loss of an entry or a sidecar may lose one.
func (w *world) checkCrashes(set []fault) {
	crashed := 0
	for _, e := range w.engines {
		crashed += int(e.Stats().Crashes)
	}
	bound := crashers * (quarantine.SoloCrashThreshold + 1)
	if len(set) > 0 {
		bound = crashers * (quarantine.CrashThreshold + 1)
	}
	w.t.Logf("%d engines crashed of %d requests in two lanes", crashed, crashers)
	if crashed > bound {
		w.t.Errorf("%d engines crashed, the bound is %d", crashed, bound)
	}
}

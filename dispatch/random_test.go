package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// TestDispatcher_RandomFaults sends calls of every kind through two entries, with
// each fault alone and with each pair of faults. It guards against wrong or
// incomplete responses, calls that run twice though not idempotent, wrong
// outcomes, and requests to leaving endpoints.
func TestDispatcher_RandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		for i, a := range faults {
			for _, b := range faults[i:] {
				t.Run(fmt.Sprintf("%s+%s/seed=%d", a, b, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaults(t, seed, a, b) })
				})
			}
		}
	}
}

func runFaults(t *testing.T, seed uint64, faults ...fault) {
	const n = 60
	fleet := newTestFleet(t, seed, 6, faults...)
	suspects := sharedSuspects{quarantine.NewTable()}
	entries := []*Dispatcher{fleet.entry("e", suspects), fleet.entry("e2", suspects)}
	requests := make([]testCall, n)
	results := make([]callResult, n)
	var wg sync.WaitGroup
	if slices.Contains(faults, outage) {
		wg.Go(fleet.injectOutages)
	}
	for i := range requests {
		requests[i] = testCall{
			id: fmt.Sprint("r", i), text: fmt.Sprint("text", i),
			stream: fleet.IntN(2) == 0, idempotent: fleet.IntN(3) > 0, resume: fleet.IntN(3) > 0,
		}
		d := entries[fleet.IntN(len(entries))]
		wg.Go(func() { results[i] = fleet.send(d, requests[i]) })
		time.Sleep(time.Duration(fleet.IntN(200)) * time.Millisecond)
	}
	wg.Wait()
	for i, q := range requests {
		fleet.checkResult(q, results[i])
	}
	g := gomega.NewWithT(t)
	g.Expect(fleet.lateCalls).To(gomega.BeEmpty())
	g.Expect(countComplete(results)).To(gomega.BeNumerically(">", n/2))
	time.Sleep(2 * time.Minute) // until the handlers of hanging requests have returned
}

// countComplete counts the calls with a complete response.
func countComplete(results []callResult) int {
	n := 0
	for _, out := range results {
		if out.err == nil && !out.aborted {
			n++
		}
	}
	return n
}

// checkResult compares the result of one call with its runs at the endpoints.
func (f *testFleet) checkResult(q testCall, out callResult) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	runs := f.runs[q.id]
	g.Expect(out.elapsed).To(gomega.BeNumerically("<=", timeout), q.id)
	if !q.idempotent {
		g.Expect(runs).To(gomega.BeNumerically("<=", 1), q.id)
	}
	text, code := out.text()
	switch {
	case out.err != nil:
		g.Expect(out.body).To(gomega.BeEmpty())
		g.Expect(out.err.Code).NotTo(gomega.Equal(api.CodeQuarantined), "a request that never crashed an endpoint")
		g.Expect(out.err.RetryAfter).To(gomega.BeNumerically(">", 0))
		if out.err.Outcome == api.NotRun {
			g.Expect(runs).To(gomega.BeZero(), q.id)
		}
	case out.aborted:
		g.Expect(q.stream).To(gomega.BeTrue(), q.id)
		g.Expect(code).NotTo(gomega.BeEmpty(), "an interrupted stream must end with an error event")
		g.Expect(fullText(q.text)).To(gomega.HavePrefix(text))
	case q.stream:
		g.Expect(text).To(gomega.Equal(fullText(q.text)))
	default:
		g.Expect(out.body).To(gomega.Equal(fullText(q.text)))
	}
}

// TestDispatcher_QuarantinesCrashingCall sends a request that crashes endpoints
// several times through two entries, beside others. It must be quarantined after
// quarantine.SoloCrashThreshold crashes, and must not harm the others.
func TestDispatcher_QuarantinesCrashingCall(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) { runCrashingCall(t, seed) })
	}
}

func runCrashingCall(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	fleet := newTestFleet(t, seed, 6)
	suspects := sharedSuspects{quarantine.NewTable()}
	entries := []*Dispatcher{fleet.entry("e", suspects), fleet.entry("e2", suspects)}
	var wg sync.WaitGroup
	others := make([]callResult, 60)
	requests := make([]testCall, len(others))
	for i := range others {
		requests[i] = testCall{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: true, idempotent: true, resume: true}
		wg.Go(func() { others[i] = fleet.send(entries[i%2], requests[i]) })
		time.Sleep(10 * time.Millisecond)
	}
	var last callResult
	for i := range 5 {
		q := testCall{id: fmt.Sprint("p", i), text: crashingText, idempotent: fleet.IntN(2) == 0}
		last = fleet.send(entries[fleet.IntN(2)], q)
		time.Sleep(time.Duration(fleet.IntN(3000)) * time.Millisecond)
	}
	wg.Wait()
	g.Expect(fleet.crashCounts[crashingText]).To(gomega.Equal(quarantine.SoloCrashThreshold))
	g.Expect(last.err.Code).To(gomega.Equal(api.CodeQuarantined))
	g.Expect(last.err.Outcome).To(gomega.Equal(api.NotRun))
	for i, q := range requests {
		fleet.checkResult(q, others[i])
	}
}

// TestDispatcher_CrashingCallsBesideOthers repeatedly sends two requests that
// crash endpoints and one that takes whole instances down, beside others that are
// repeated too. Crashes must stay within the limits of package quarantine, and the
// others must not be quarantined.
func TestDispatcher_CrashingCallsBesideOthers(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) { runCrashingCalls(t, seed) })
	}
}

func runCrashingCalls(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	fleet := newTestFleet(t, seed, 8)
	suspects := sharedSuspects{quarantine.NewTable()}
	entries := []*Dispatcher{fleet.entry("e", suspects), fleet.entry("e2", suspects)}
	var wg sync.WaitGroup
	for i, text := range []string{crashingText, crashingText2, instanceCrashingText} {
		wg.Go(func() {
			for n := range 12 {
				fleet.send(entries[fleet.IntN(2)], testCall{id: fmt.Sprint(text, n), text: text, idempotent: i > 0})
				time.Sleep(time.Duration(fleet.IntN(1500)) * time.Millisecond)
			}
		})
	}
	others := make([][]callResult, 8)
	for i := range others {
		wg.Go(func() {
			q := testCall{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: i%2 == 0, idempotent: true, resume: true}
			for range 60 {
				others[i] = append(others[i], fleet.send(entries[fleet.IntN(2)], q))
				time.Sleep(time.Duration(fleet.IntN(200)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for i := range others {
		for _, out := range others[i] {
			g.Expect(out.err == nil || out.err.Code != api.CodeQuarantined).To(gomega.BeTrue(), "seed %d: call %d", seed, i)
		}
		last := others[i][50:]
		g.Expect(countComplete(last)).To(gomega.Equal(len(last)), "seed %d: call %d", seed, i)
	}
	g.Expect(fleet.crashCounts[crashingText]).To(gomega.BeNumerically("<=", quarantine.SoloCrashThreshold), "seed %d", seed)
	g.Expect(fleet.crashCounts[crashingText2]).To(gomega.BeNumerically("<=", quarantine.SoloCrashThreshold), "seed %d", seed)
	g.Expect(fleet.crashCounts[instanceCrashingText]).To(gomega.BeNumerically("<=", quarantine.CrashThreshold), "seed %d", seed)
}

// TestDispatcher_AbortsAtUnresponsiveEndpoint makes the only endpoint hang and refuse
// connections with calls in flight. The idempotent call must fail well before its
// deadline, as soon as the endpoint has missed its probes; the other one waits for
// its deadline.
func TestDispatcher_AbortsAtUnresponsiveEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(t, 1, 1, hang)
		fleet.faultRate = 1
		d := fleet.entry("e", nil)
		var idempotent, nonIdempotent callResult
		var wg sync.WaitGroup
		wg.Go(func() { idempotent = fleet.send(d, testCall{id: "a", text: "a", idempotent: true}) })
		wg.Go(func() { nonIdempotent = fleet.send(d, testCall{id: "b", text: "b"}) })
		time.Sleep(100 * time.Millisecond)
		fleet.net.SetRefusing(fleet.members[0].HTTPAddr, true)
		wg.Wait()
		g.Expect(idempotent.err.Outcome).To(gomega.Equal(api.Unknown), idempotent.err.Error())
		g.Expect(idempotent.elapsed).To(gomega.BeNumerically("<", timeout/2))
		g.Expect(nonIdempotent.err.Code).To(gomega.Equal(api.CodeDeadline))
		g.Expect(nonIdempotent.err.Outcome).To(gomega.Equal(api.Unknown))
	})
}

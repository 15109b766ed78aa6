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

// TestRandomFaults sends requests of every kind through two entries while
// endpoints show each fault alone and each pair, and checks what callers and
// endpoints saw.
func TestRandomFaults(t *testing.T) {
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
	r := newRig(t, seed, 6, faults...)
	suspects := sharedTable{quarantine.NewTable()}
	entries := []*Dispatcher{r.entry("e", suspects), r.entry("e2", suspects)}
	requests := make([]request, n)
	results := make([]got, n)
	var wg sync.WaitGroup
	if slices.Contains(faults, kill) {
		wg.Go(r.killSome)
	}
	for i := range requests {
		requests[i] = request{
			id: fmt.Sprint("r", i), text: fmt.Sprint("text", i),
			stream: r.IntN(2) == 0, idempotent: r.IntN(3) > 0, resume: r.IntN(3) > 0,
		}
		d := entries[r.IntN(len(entries))]
		wg.Go(func() { results[i] = r.send(d, requests[i]) })
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
	}
	wg.Wait()
	for i, q := range requests {
		r.check(q, results[i])
	}
	g := gomega.NewWithT(t)
	g.Expect(r.late).To(gomega.BeEmpty())
	g.Expect(answered(results)).To(gomega.BeNumerically(">", n/2))
	time.Sleep(2 * time.Minute) // hanging endpoints let go
}

// answered counts the callers with a whole answer.
func answered(results []got) int {
	n := 0
	for _, out := range results {
		if out.err == nil && !out.aborted {
			n++
		}
	}
	return n
}

// check compares what one caller saw with what the endpoints did.
func (r *rig) check(q request, out got) {
	r.t.Helper()
	g := gomega.NewWithT(r.t)
	runs := r.runs[q.id]
	g.Expect(out.took).To(gomega.BeNumerically("<=", timeout), q.id)
	if !q.idempotent {
		g.Expect(runs).To(gomega.BeNumerically("<=", 1), q.id)
	}
	text, code := out.text()
	switch {
	case out.err != nil:
		g.Expect(out.body).To(gomega.BeEmpty())
		g.Expect(out.err.Code).NotTo(gomega.Equal(api.CodeQuarantined), "an innocent request")
		g.Expect(out.err.RetryAfter).To(gomega.BeNumerically(">", 0))
		if out.err.Outcome == api.NotRun {
			g.Expect(runs).To(gomega.BeZero(), q.id)
		}
	case out.aborted:
		g.Expect(q.stream).To(gomega.BeTrue(), q.id)
		g.Expect(code).NotTo(gomega.BeEmpty(), "a cut stream ends with an error event")
		g.Expect(whole(q.text)).To(gomega.HavePrefix(text))
	case q.stream:
		g.Expect(text).To(gomega.Equal(whole(q.text)))
	default:
		g.Expect(out.body).To(gomega.Equal(whole(q.text)))
	}
}

// TestPoisonKillsTwoEndpointsAtMost resends a request that crashes endpoints
// through two entries, beside innocent ones.
func TestPoisonKillsTwoEndpointsAtMost(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) { runPoison(t, seed) })
	}
}

func runPoison(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	r := newRig(t, seed, 6)
	suspects := sharedTable{quarantine.NewTable()}
	entries := []*Dispatcher{r.entry("e", suspects), r.entry("e2", suspects)}
	var wg sync.WaitGroup
	innocent := make([]got, 60)
	requests := make([]request, len(innocent))
	for i := range innocent {
		requests[i] = request{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: true, idempotent: true, resume: true}
		wg.Go(func() { innocent[i] = r.send(entries[i%2], requests[i]) })
		time.Sleep(10 * time.Millisecond)
	}
	var last got
	for i := range 5 {
		q := request{id: fmt.Sprint("p", i), text: poison, idempotent: r.IntN(2) == 0}
		last = r.send(entries[r.IntN(2)], q)
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	}
	wg.Wait()
	g.Expect(r.deaths[poison]).To(gomega.Equal(quarantine.SoloCrashThreshold))
	g.Expect(last.err.Code).To(gomega.Equal(api.CodeQuarantined))
	g.Expect(last.err.Outcome).To(gomega.Equal(api.NotRun))
	for i, q := range requests {
		r.check(q, innocent[i])
	}
}

// TestCrashersBesideInnocents sends two requests that crash endpoints and one
// that takes whole instances down, again and again, beside innocent requests
// that are sent again too.
func TestCrashersBesideInnocents(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) { runCrashers(t, seed) })
	}
}

func runCrashers(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	r := newRig(t, seed, 8)
	suspects := sharedTable{quarantine.NewTable()}
	entries := []*Dispatcher{r.entry("e", suspects), r.entry("e2", suspects)}
	var wg sync.WaitGroup
	for i, text := range []string{poison, poison2, killer} {
		wg.Go(func() {
			for n := range 12 {
				r.send(entries[r.IntN(2)], request{id: fmt.Sprint(text, n), text: text, idempotent: i > 0})
				time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
			}
		})
	}
	innocent := make([][]got, 8)
	for i := range innocent {
		wg.Go(func() {
			q := request{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: i%2 == 0, idempotent: true, resume: true}
			for range 60 {
				innocent[i] = append(innocent[i], r.send(entries[r.IntN(2)], q))
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for i := range innocent {
		for _, out := range innocent[i] {
			g.Expect(out.err == nil || out.err.Code != api.CodeQuarantined).To(gomega.BeTrue(), "seed %d: innocent %d", seed, i)
		}
		last := innocent[i][50:]
		g.Expect(answered(last)).To(gomega.Equal(len(last)), "seed %d: innocent %d", seed, i)
	}
	g.Expect(r.deaths[poison]).To(gomega.BeNumerically("<=", quarantine.SoloCrashThreshold), "seed %d", seed)
	g.Expect(r.deaths[poison2]).To(gomega.BeNumerically("<=", quarantine.SoloCrashThreshold), "seed %d", seed)
	g.Expect(r.deaths[killer]).To(gomega.BeNumerically("<=", quarantine.CrashThreshold), "seed %d", seed)
}

// TestSilentEndpointIsLeftBehind pauses an endpoint with calls in flight: the
// repeatable ones finish elsewhere soon, others wait for their deadline.
func TestSilentEndpointIsLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newRig(t, 1, 1, hang)
		r.rate = 1
		d := r.entry("e", nil)
		var safe, unsafe got
		var wg sync.WaitGroup
		wg.Go(func() { safe = r.send(d, request{id: "a", text: "a", idempotent: true}) })
		wg.Go(func() { unsafe = r.send(d, request{id: "b", text: "b"}) })
		time.Sleep(100 * time.Millisecond)
		r.net.Refuse(r.members[0].HTTPAddr, true)
		wg.Wait()
		g.Expect(safe.err.Outcome).To(gomega.Equal(api.Unknown), safe.err.Error())
		g.Expect(safe.took).To(gomega.BeNumerically("<", timeout/2))
		g.Expect(unsafe.err.Code).To(gomega.Equal(api.CodeDeadline))
		g.Expect(unsafe.err.Outcome).To(gomega.Equal(api.Unknown))
	})
}

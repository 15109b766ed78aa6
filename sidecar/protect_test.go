package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/standin/engine"
)

// batchItemsAtFirstToken sends online requests to an engine whose other slots
// run batch items. It returns, for each request, the number of items in the step
// of its first token. ratio is the first_token_ratio of the deployment.
func batchItemsAtFirstToken(t *testing.T, ratio float64) (items []int) {
	const slots, requests = 8, 50
	synctest.Test(t, func(t *testing.T) {
		var log stepLog
		e, owner := newEngine(t, engine.Options{OnStep: log.add}), newFakeOwner()
		d := modelDeployment(slots)
		d.FirstTokenRatio = ratio
		f := newFixture(t, e, d, withBatch(owner))
		for i := range 500 {
			owner.add(work(i, chat(fmt.Sprint("item ", i), 60+37*i%90)))
		}
		f.runBatch()
		time.Sleep(5 * time.Second)
		for i := range requests {
			id := fmt.Sprint("r", i)
			f.result(t.Context(), call{id: id, body: streamed(chat(id, 2))})
			time.Sleep(time.Duration(90_000+7_919*i%10_000) * time.Microsecond) // arrives at a different point of a step each time
		}
		first := itemsInFirstStep(log.all())
		for i := range requests {
			items = append(items, first[fmt.Sprint("r", i)])
		}
	})
	return items
}

// itemsInFirstStep returns the number of batch items in the first step of each
// request, by request ID.
func itemsInFirstStep(steps []engine.Step) map[string]int {
	first := make(map[string]int)
	for _, s := range steps {
		items := 0
		for _, seq := range s.Sequences {
			if strings.HasPrefix(seq.ID, "batch/") {
				items++
			}
		}
		for _, seq := range s.Sequences {
			if _, known := first[seq.ID]; !known {
				first[seq.ID] = items
			}
		}
	}
	return first
}

// TestBatch_PreemptedForLateFirstTokens guards against batch items that delay
// first tokens beyond the ratio, and against preemption where it is not needed:
// only a request that arrives early in a step preempts items.
func TestBatch_PreemptedForLateFirstTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	unprotected := batchItemsAtFirstToken(t, config.MaxFirstTokenRatio)
	protected := batchItemsAtFirstToken(t, 1.05)

	few := func(items int) bool { return items <= 2 }
	g.Expect(count(unprotected, few)).To(gomega.BeNumerically("<", len(unprotected)/10), "the maximum ratio allows batch in every idle slot")
	g.Expect(count(protected, few)).To(gomega.BeNumerically(">", len(protected)/10), "requests that arrive early in a step preempt batch")
	g.Expect(count(protected, few)).To(gomega.BeNumerically("<", len(protected)/2), "other requests do not preempt batch")
}

// count returns the number of values for which f returns true.
func count(list []int, f func(int) bool) int {
	n := 0
	for _, v := range list {
		if f(v) {
			n++
		}
	}
	return n
}

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

// sharedSteps runs online requests over an engine full of batch and returns
// with how many items each shared the step of its first token.
func batchItemsAtFirstToken(t *testing.T, ratio float64) (shared []int) {
	const slots, requests = 8, 50
	synctest.Test(t, func(t *testing.T) {
		var log stepLog
		e, src := newEngine(t, engine.Options{OnStep: log.add}), newFakeOwner()
		d := modelDeployment(slots)
		d.FirstTokenRatio = ratio
		r := newFixture(t, e, d, withBatch(src))
		for i := range 500 {
			src.add(work(i, chat(fmt.Sprint("item ", i), 60+37*i%90)))
		}
		r.runBatch()
		time.Sleep(5 * time.Second)
		for i := range requests {
			id := fmt.Sprint("r", i)
			r.result(t.Context(), call{id: id, body: streamed(chat(id, 2))})
			time.Sleep(time.Duration(90_000+7_919*i%10_000) * time.Microsecond) // another place in the step each time
		}
		first := itemsInFirstStep(log.all())
		for i := range requests {
			shared = append(shared, first[fmt.Sprint("r", i)])
		}
	})
	return shared
}

// firstSteps returns the number of items in the first step of each request.
func itemsInFirstStep(steps []engine.Step) map[string]int {
	first := make(map[string]int)
	for _, s := range steps {
		items := 0
		for _, run := range s.Runs {
			if strings.HasPrefix(run.ID, "batch/") {
				items++
			}
		}
		for _, run := range s.Runs {
			if _, known := first[run.ID]; !known {
				first[run.ID] = items
			}
		}
	}
	return first
}

func TestBatch_PreemptedForLateFirstTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	filling := batchItemsAtFirstToken(t, config.MaxFirstTokenRatio)
	yielding := batchItemsAtFirstToken(t, 1.05)

	few := func(items int) bool { return items <= 2 }
	g.Expect(count(filling, few)).To(gomega.BeNumerically("<", len(filling)/10), "batch in every idle slot")
	g.Expect(count(yielding, few)).To(gomega.BeNumerically(">", len(yielding)/10), "for those that came early in a step")
	g.Expect(count(yielding, few)).To(gomega.BeNumerically("<", len(yielding)/2), "not for the others")
}

func count(list []int, f func(int) bool) int {
	n := 0
	for _, v := range list {
		if f(v) {
			n++
		}
	}
	return n
}

package lane_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/lane"
)

// The engine in these tests: a step takes stepBase, and perSequence more for each
// sequence.
const (
	stepBase        = 8 * time.Millisecond
	perSequence     = 250 * time.Microsecond
	itemEndInterval = 10 // steps from the end of one item to the end of the next
	warmupSteps     = 2000
)

// simulatedEngine drives a queue like an engine that streams a token at the end of
// every step.
type simulatedEngine struct {
	q         *lane.Queue
	now       time.Time
	items     []string // running items
	itemCount int
}

// apply starts the items of a decision.
func (e *simulatedEngine) apply(d lane.Decision) {
	e.items = append(e.items, d.Start...)
}

// addItem adds a new item.
func (e *simulatedEngine) addItem() {
	e.itemCount++
	e.apply(e.q.AddItem(e.now, lane.Item{ID: fmt.Sprint("item", e.itemCount), Preemptible: true, Resumable: true}))
}

func (e *simulatedEngine) stepDuration() time.Duration {
	return stepBase + perSequence*time.Duration(len(e.items))
}

// step runs one step.
func (e *simulatedEngine) step() {
	e.now = e.now.Add(e.stepDuration())
	e.q.RecordToken(e.now)
}

// replaceItem ends an item and runs the next step, in the middle of which a new
// item is added.
func (e *simulatedEngine) replaceItem() {
	id := e.items[0]
	e.items = e.items[1:]
	e.apply(e.q.FinishItem(e.now, id))
	d := e.stepDuration()
	e.now = e.now.Add(d / 2)
	e.addItem()
	e.now = e.now.Add(d / 2)
	e.q.RecordToken(e.now)
}

// newSaturatedEngine returns an engine whose slots are all taken by items, after
// warmupSteps steps from which the queue has learned their duration.
func newSaturatedEngine(slots int, ratio float64) *simulatedEngine {
	e := &simulatedEngine{q: lane.New(lane.Options{Slots: slots, FirstTokenRatio: ratio}), now: epoch}
	for range slots {
		e.addItem()
	}
	for i := range warmupSteps {
		e.step()
		if i%itemEndInterval == 0 {
			e.replaceItem()
		}
	}
	return e
}

// arriveOnline adds an online request at the time d after a step began. It returns
// the items that are preempted for its first token, without the one whose slot the
// request takes.
func (e *simulatedEngine) arriveOnline(d time.Duration) []string {
	e.now = e.now.Add(d)
	slot := e.q.Arrive(e.now, lane.Request{ID: "online"}).Preempt[0]
	e.items = e.items[1:]
	return append([]string(nil), e.q.RequeueItem(e.now, slot, 0).Preempt...)
}

func TestQueue_PreemptsItemsForLateFirstToken(t *testing.T) {
	for _, c := range []struct {
		name      string
		ratio     float64
		after     time.Duration
		preempted int
	}{
		// The step in progress takes 12 ms for 16 sequences, and the step of the
		// request itself takes as long; without batch they take 8 and 8.25 ms.
		{"start of a step: 24 ms predicted, 16.25 ms without batch, 7.75 ms due to items", 1, 0, 15},
		{"end of a step: 12.5 ms predicted, 8.6 ms without batch, 3.9 ms due to items", 1, 11500 * time.Microsecond, 15},
		{"ratio 1.25: 24 ms predicted, 20.3 ms allowed", 1.25, 0, 15},
		{"ratio 1.38: 24 ms predicted, 22.425 ms allowed", 1.38, 0, 7},
		{"ratio 1.6", 1.6, 0, 0},
		{"no ratio", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newSaturatedEngine(16, c.ratio)
			g.Expect(e.arriveOnline(c.after)).To(gomega.HaveLen(c.preempted))
		})
	}
}

func TestQueue_PreemptedItemsWaitForFirstToken(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *simulatedEngine) lane.Decision
	}{
		{"first token received", func(e *simulatedEngine) lane.Decision { return e.q.RecordFirstToken(e.now, "online", 0) }},
		{"request ended", func(e *simulatedEngine) lane.Decision { return e.q.Finish(e.now, "online", 0) }},
		{"deferral expired", func(e *simulatedEngine) lane.Decision { return e.q.Tick(e.now.Add(time.Second)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newSaturatedEngine(16, 1.4)
			preempted := e.arriveOnline(0)
			for _, id := range preempted {
				d := e.q.RequeueItem(e.now, id, 0)
				g.Expect(d.Start).To(gomega.BeEmpty())
				g.Expect(d.Wake).To(gomega.BeTemporally(">", e.now))
				g.Expect(d.Wake).To(gomega.BeTemporally("<", e.now.Add(time.Second)))
			}
			g.Expect(c.end(e).Start).To(gomega.ContainElements(preempted))
		})
	}
}

func TestQueue_RelearnsStepDurationOfSlowerEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newSaturatedEngine(16, 1.4)
	for range 200 { // steps take five times as long, regardless of their load
		e.now = e.now.Add(4 * (stepBase + 16*perSequence))
		e.step()
	}
	// 120 ms are predicted with and without batch, since the model has been reset
	// and has seen only steps with 16 sequences since then.
	g.Expect(e.arriveOnline(0)).To(gomega.BeEmpty())
}

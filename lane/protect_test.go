package lane_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/lane"
)

// The steps of the engine in these tests.
const (
	stepBase  = 8 * time.Millisecond
	perRun    = 250 * time.Microsecond
	endEvery  = 10 // steps between two ends of items
	warmSteps = 2000
)

// engineOf drives a queue as an engine would whose every step streams a token.
type engineOf struct {
	q     *lane.Queue
	now   time.Time
	items []string // that run
	n     int
}

// apply follows what a decision says of items.
func (e *engineOf) apply(d lane.Decision) {
	e.items = append(e.items, d.Start...)
}

// offer adds a new item.
func (e *engineOf) offer() {
	e.n++
	e.apply(e.q.AddItem(e.now, lane.Item{ID: fmt.Sprint("item", e.n), Preemptible: true, Resumable: true}))
}

func (e *engineOf) stepTime() time.Duration { return stepBase + perRun*time.Duration(len(e.items)) }

// step lets a step pass.
func (e *engineOf) step() {
	e.now = e.now.Add(e.stepTime())
	e.q.RecordToken(e.now)
}

// replace ends an item. Its successor comes during the next step.
func (e *engineOf) replace() {
	id := e.items[0]
	e.items = e.items[1:]
	e.apply(e.q.FinishItem(e.now, id))
	d := e.stepTime()
	e.now = e.now.Add(d / 2)
	e.offer()
	e.now = e.now.Add(d / 2)
	e.q.RecordToken(e.now)
}

// busyEngine returns a queue whose slots are full of items and that has seen
// the engine's steps.
func busyEngine(slots int, ratio float64) *engineOf {
	e := &engineOf{q: lane.New(lane.Options{Slots: slots, FirstTokenRatio: ratio}), now: epoch}
	for range slots {
		e.offer()
	}
	for i := range warmSteps {
		e.step()
		if i%endEvery == 0 {
			e.replace()
		}
	}
	return e
}

// arriveAfter has an online request come that long after a step began. It
// returns the items that are cut for it, beside the one whose slot it takes.
func (e *engineOf) arriveAfter(d time.Duration) []string {
	e.now = e.now.Add(d)
	slot := e.q.Arrive(e.now, lane.Request{ID: "online"}).Preempt[0]
	e.items = e.items[1:]
	return append([]string(nil), e.q.RequeueItem(e.now, slot, 0).Preempt...)
}

func TestItemsYieldForAFirstTokenThatWouldComeLate(t *testing.T) {
	for _, c := range []struct {
		name  string
		ratio float64
		after time.Duration
		cut   int
	}{
		// The step under way takes 12 ms for 16 sequences and one of the
		// request's own as long; alone they take 8 and 8.25 ms.
		{"just after a step began: 24 ms foreseen, 16.25 alone, 7.75 by items", 1, 0, 15},
		{"just before one begins: 12.5 ms foreseen, 8.6 alone, 3.9 by items", 1, 11500 * time.Microsecond, 15},
		{"1.25 times allowed: 24 ms foreseen, 20.3 allowed", 1.25, 0, 15},
		{"1.38 times allowed: 24 ms foreseen, 22.425 allowed", 1.38, 0, 7},
		{"1.6 times allowed", 1.6, 0, 0},
		{"no ratio is set", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := busyEngine(16, c.ratio)
			g.Expect(e.arriveAfter(c.after)).To(gomega.HaveLen(c.cut))
		})
	}
}

func TestCutItemsWaitForTheFirstToken(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *engineOf) lane.Decision
	}{
		{"it comes", func(e *engineOf) lane.Decision { return e.q.RecordFirstToken(e.now, "online", 0) }},
		{"the request ends", func(e *engineOf) lane.Decision { return e.q.Finish(e.now, "online", 0) }},
		{"it is late", func(e *engineOf) lane.Decision { return e.q.Tick(e.now.Add(time.Second)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := busyEngine(16, 1.4)
			cut := e.arriveAfter(0)
			for _, id := range cut {
				d := e.q.RequeueItem(e.now, id, 0)
				g.Expect(d.Start).To(gomega.BeEmpty())
				g.Expect(d.Wake).To(gomega.BeTemporally(">", e.now))
				g.Expect(d.Wake).To(gomega.BeTemporally("<", e.now.Add(time.Second)))
			}
			g.Expect(c.end(e).Start).To(gomega.ContainElements(cut))
		})
	}
}

func TestEngineThatChangesIsLearnedAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	e := busyEngine(16, 1.4)
	for range 200 { // five times as slow, whatever the step holds
		e.now = e.now.Add(4 * (stepBase + 16*perRun))
		e.step()
	}
	// 120 ms foreseen and as long alone, by what is known of full steps only.
	g.Expect(e.arriveAfter(0)).To(gomega.BeEmpty())
}

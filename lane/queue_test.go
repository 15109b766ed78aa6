package lane_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/invariant"
	"dandelionrelay/lane"
)

var seeds = flag.Int("seeds", 40, "number of seeds of randomised runs")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestOnlineTakesTheSlotOfTheCheapestItem(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 3})
	q.AddItem(at(0), lane.Item{ID: "fixed", Preemptible: false})
	q.AddItem(at(0), lane.Item{ID: "lossy", Preemptible: true})
	q.AddItem(at(0), lane.Item{ID: "resumable", Preemptible: true, Resumable: true})
	q.RecordProgress("lossy", 50)
	q.RecordProgress("resumable", 50)
	g.Expect(q.IdleBatchSlots()).To(gomega.BeZero())

	// The item that can't be cut takes no slot from online requests.
	g.Expect(q.Arrive(at(1), lane.Request{ID: "a"}).Start).To(gomega.Equal([]string{"a"}))
	g.Expect(q.Arrive(at(1), lane.Request{ID: "b"}).Preempt).To(gomega.Equal([]string{"resumable"}))
	g.Expect(q.Arrive(at(1), lane.Request{ID: "c"}).Preempt).To(gomega.Equal([]string{"lossy"}))
	g.Expect(q.RequeueItem(at(2), "resumable", 60).Start).To(gomega.Equal([]string{"b"}))
	g.Expect(q.FinishItem(at(2), "lossy").Start).To(gomega.Equal([]string{"c"}))
	g.Expect(q.Waiting()).To(gomega.BeZero())

	g.Expect(q.Finish(at(9), "a", 10).Start).To(gomega.BeEmpty(), "three still run")
	g.Expect(q.Finish(at(9), "b", 10).Start).To(gomega.Equal([]string{"resumable"}))
}

func TestLaterWorkOfABusyCustomerWaitsBehindOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 1})
	q.Arrive(at(0), lane.Request{ID: "first", Customer: "busy", Cost: 10})
	for i := range 5 {
		q.Arrive(at(0), lane.Request{ID: fmt.Sprint("busy", i), Customer: "busy", Cost: 10})
	}
	q.Arrive(at(1), lane.Request{ID: "other", Customer: "other", Cost: 10})
	g.Expect(q.Finish(at(2), "first", 10).Start).To(gomega.Equal([]string{"other"}))
}

func TestRefusesAtOnceWhatCannotMeetItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 1})
	q.Arrive(at(0), lane.Request{ID: "a", Cost: 10})
	q.Finish(at(1000), "a", 10)
	q.Arrive(at(1000), lane.Request{ID: "b", Cost: 10, Deadline: at(60_000)})
	g.Expect(q.Arrive(at(1000), lane.Request{ID: "c", Cost: 10, Deadline: at(60_000)}).Refuse).To(gomega.BeEmpty())
	d := q.Arrive(at(1000), lane.Request{ID: "d", Cost: 10, Deadline: at(2500)})
	g.Expect(d.Refuse).To(gomega.HaveLen(1))
	g.Expect(d.Refuse[0].Reason).To(gomega.Equal(lane.DeadlineMiss))
	g.Expect(d.Refuse[0].RetryAfter).To(gomega.Equal(2 * time.Second))
}

func TestFullQueueRefusesTheCustomerWithMostWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 1, MaxQueued: 3})
	for i := range 4 {
		q.Arrive(at(0), lane.Request{ID: fmt.Sprint("busy", i), Customer: "busy", Cost: 10})
	}
	d := q.Arrive(at(1), lane.Request{ID: "other", Customer: "other", Cost: 10})
	g.Expect(d.Refuse).To(gomega.HaveLen(1))
	g.Expect(d.Refuse[0].ID).To(gomega.Equal("busy3"))
	g.Expect(d.Refuse[0].Reason).To(gomega.Equal(lane.QueueFull))
}

func TestSteeredLimitFallsByHalfAndRisesByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := lane.BatchLimit{FirstTokenTarget: 100 * time.Millisecond, Interval: time.Second}
	q := lane.New(lane.Options{Slots: 8, Limit: limit})
	for i := range 8 {
		q.AddItem(at(0), lane.Item{ID: fmt.Sprint(i), Preemptible: true, Resumable: true})
	}
	g.Expect(q.RecordFirstToken(at(1000), "", 200*time.Millisecond).Preempt).To(gomega.HaveLen(4))
	g.Expect(q.RecordFirstToken(at(1500), "", 200*time.Millisecond).Preempt).To(gomega.BeEmpty(), "within the interval")
}

// world drives a queue at random and checks each decision against a model.
type world struct {
	t       *testing.T
	r       *rand.Rand
	q       *lane.Queue
	now     time.Time
	slots   int
	state   map[string]string // "waiting", "running", "parked", "item" or "yielding"
	fixed   map[string]bool
	started map[string]int
	wake    time.Time // as the last decision said
	n       int
}

func (w *world) apply(d lane.Decision) {
	w.wake = d.Wake
	for _, id := range d.Start {
		w.started[id]++
		switch w.state[id] {
		case "waiting":
			w.state[id] = "running"
		case "parked":
			w.state[id] = "item"
			if w.count("waiting") > 0 {
				w.t.Errorf("item %s starts while an online request waits", id)
			}
		default:
			w.t.Errorf("%s starts while %q", id, w.state[id])
		}
	}
	for _, id := range d.Preempt {
		if w.state[id] != "item" || w.fixed[id] {
			w.t.Errorf("%s is cut while %q", id, w.state[id])
		}
		w.state[id] = "yielding"
	}
	for _, r := range d.Refuse {
		if w.state[r.ID] != "waiting" {
			w.t.Errorf("%s is refused while %q", r.ID, w.state[r.ID])
		}
		delete(w.state, r.ID)
	}
}

func (w *world) count(state string) int {
	n := 0
	for _, s := range w.state {
		if s == state {
			n++
		}
	}
	return n
}

// pick returns the id of something in one of the states, or "".
func (w *world) pick(states ...string) string {
	for i := range w.n { // in order of ids, so that a seed fixes the run
		id := fmt.Sprint((i + w.r.IntN(w.n)) % w.n)
		for _, s := range states {
			if w.state[id] == s {
				return id
			}
		}
	}
	return ""
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(20)) * time.Millisecond)
	id := fmt.Sprint(w.n)
	switch w.r.IntN(14) {
	case 0, 1, 2:
		w.n++
		w.state[id] = "waiting"
		r := lane.Request{ID: id, Customer: fmt.Sprint(w.r.IntN(4)), Weight: float64(w.r.IntN(3)), Cost: 1 + float64(w.r.IntN(50))}
		if w.r.IntN(2) == 0 {
			r.Deadline = w.now.Add(time.Duration(w.r.IntN(200)) * time.Millisecond)
		}
		w.apply(w.q.Arrive(w.now, r))
	case 3:
		w.n++
		w.state[id] = "parked"
		w.fixed[id] = w.r.IntN(4) == 0
		w.apply(w.q.AddItem(w.now, lane.Item{ID: id, Preemptible: !w.fixed[id], Resumable: w.r.IntN(2) == 0}))
	case 4, 5:
		if id := w.pick("running"); id != "" {
			delete(w.state, id)
			w.apply(w.q.Finish(w.now, id, float64(w.r.IntN(50))))
		}
	case 6:
		if id := w.pick("item", "yielding"); id != "" {
			if w.state[id] == "yielding" && w.r.IntN(2) == 0 {
				w.state[id] = "parked"
				w.apply(w.q.RequeueItem(w.now, id, 10))
				return
			}
			delete(w.state, id)
			w.apply(w.q.FinishItem(w.now, id))
		}
	case 8, 11, 12, 13:
		w.q.RecordToken(w.now)
	case 9:
		if id := w.pick("running"); id != "" {
			w.apply(w.q.RecordFirstToken(w.now, id, time.Millisecond))
		}
	case 10:
		if !w.wake.IsZero() {
			w.now = later(w.now, w.wake)
			w.apply(w.q.Tick(w.now))
			w.checkFilled()
		}
	case 7:
		if id := w.pick("waiting"); id != "" && w.r.IntN(2) == 0 {
			if !w.q.Cancel(id) {
				w.t.Errorf("%s waits but can't leave", id)
			}
			delete(w.state, id)
		}
		if id := w.pick("parked"); id != "" {
			if !w.q.CancelItem(id) {
				w.t.Errorf("%s is parked but can't be withdrawn", id)
			}
			delete(w.state, id)
		}
	}
}

// checkFilled asserts that no item that may start waits beside a free slot.
func (w *world) checkFilled() {
	free := w.slots - w.count("running") - w.count("item") - w.count("yielding")
	if w.count("waiting") > 0 || free <= 0 {
		return
	}
	for id, s := range w.state {
		if s == "parked" && !w.fixed[id] {
			w.t.Errorf("item %s waits beside %d free slots after its time came", id, free)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check compares the queue with the model after a step.
func (w *world) check() {
	yieldable := 0
	for id, s := range w.state {
		if s == "item" && !w.fixed[id] {
			yieldable++
		}
	}
	waiting, yielding := w.count("waiting"), w.count("yielding")
	if waiting != w.q.Waiting() {
		w.t.Errorf("%d wait, queue says %d", waiting, w.q.Waiting())
	}
	if waiting > 0 && yieldable > 0 && yielding < waiting {
		w.t.Errorf("%d wait while %d items run and %d yield", waiting, yieldable, yielding)
	}
	fixed := w.slots / 4
	if w.count("running")+yieldable+yielding > w.slots+max(1, fixed) {
		w.t.Errorf("more than %d slots are in use", w.slots)
	}
	if waiting > 0 && w.count("running")+yielding < w.slots && yieldable == 0 {
		w.t.Errorf("%d wait while slots are free", waiting)
	}
}

func TestRandomisedQueueKeepsItsPromises(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			slots := 1 + r.IntN(8)
			checks := invariant.New(func(v invariant.Violation) { t.Error(v) })
			w := &world{
				t: t, r: r, now: epoch, slots: slots,
				q:       lane.New(lane.Options{Slots: slots, MaxQueued: 10, FirstTokenRatio: 1.05, Invariants: checks}),
				state:   make(map[string]string),
				fixed:   make(map[string]bool),
				started: make(map[string]int),
			}
			for range 400 {
				w.step()
				w.check()
				if t.Failed() {
					return
				}
			}
		})
	}
}

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

var seeds = flag.Int("seeds", 40, "number of seeds of the randomised runs")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestQueue_OnlinePreemptsItemWithLeastLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 3})
	q.AddItem(at(0), lane.Item{ID: "non-preemptible", Preemptible: false})
	q.AddItem(at(0), lane.Item{ID: "not-resumable", Preemptible: true})
	q.AddItem(at(0), lane.Item{ID: "resumable", Preemptible: true, Resumable: true})
	q.RecordProgress("not-resumable", 50)
	q.RecordProgress("resumable", 50)
	g.Expect(q.IdleBatchSlots()).To(gomega.BeZero())

	// The item that can't be preempted takes no slot from online requests.
	g.Expect(q.Arrive(at(1), lane.Request{ID: "a"}).Start).To(gomega.Equal([]string{"a"}))
	g.Expect(q.Arrive(at(1), lane.Request{ID: "b"}).Preempt).To(gomega.Equal([]string{"resumable"}))
	g.Expect(q.Arrive(at(1), lane.Request{ID: "c"}).Preempt).To(gomega.Equal([]string{"not-resumable"}))
	g.Expect(q.RequeueItem(at(2), "resumable", 60).Start).To(gomega.Equal([]string{"b"}))
	g.Expect(q.FinishItem(at(2), "not-resumable").Start).To(gomega.Equal([]string{"c"}))
	g.Expect(q.Waiting()).To(gomega.BeZero())

	g.Expect(q.Finish(at(9), "a", 10).Start).To(gomega.BeEmpty(), "all three slots are still in use")
	g.Expect(q.Finish(at(9), "b", 10).Start).To(gomega.Equal([]string{"resumable"}))
}

func TestQueue_BusyCustomerWaitsBehindOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := lane.New(lane.Options{Slots: 1})
	q.Arrive(at(0), lane.Request{ID: "first", Customer: "busy", Cost: 10})
	for i := range 5 {
		q.Arrive(at(0), lane.Request{ID: fmt.Sprint("busy", i), Customer: "busy", Cost: 10})
	}
	q.Arrive(at(1), lane.Request{ID: "other", Customer: "other", Cost: 10})
	g.Expect(q.Finish(at(2), "first", 10).Start).To(gomega.Equal([]string{"other"}))
}

func TestQueue_RefusesRequestThatWouldMissDeadline(t *testing.T) {
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

func TestQueue_RefusesLargestBacklogWhenFull(t *testing.T) {
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

func TestBatchLimit_HalvesAtMostOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := lane.BatchLimit{FirstTokenTarget: 100 * time.Millisecond, Interval: time.Second}
	q := lane.New(lane.Options{Slots: 8, Limit: limit})
	for i := range 8 {
		q.AddItem(at(0), lane.Item{ID: fmt.Sprint(i), Preemptible: true, Resumable: true})
	}
	g.Expect(q.RecordFirstToken(at(1000), "", 200*time.Millisecond).Preempt).To(gomega.HaveLen(4))
	g.Expect(q.RecordFirstToken(at(1500), "", 200*time.Millisecond).Preempt).To(gomega.BeEmpty(), "within the interval")
}

// modelTest drives a queue at random and checks each decision against a model.
type modelTest struct {
	t     *testing.T
	rand  *rand.Rand
	q     *lane.Queue
	now   time.Time
	slots int
	// state is "waiting" or "running" for a request, and "item waiting", "item
	// running" or "item preempting" for an item.
	state          map[string]string
	nonPreemptible map[string]bool
	started        map[string]int
	wake           time.Time // Decision.Wake of the last decision
	nextID         int
}

func (m *modelTest) apply(d lane.Decision) {
	m.wake = d.Wake
	for _, id := range d.Start {
		m.started[id]++
		switch m.state[id] {
		case "waiting":
			m.state[id] = "running"
		case "item waiting":
			m.state[id] = "item running"
			if m.count("waiting") > 0 {
				m.t.Errorf("item %s starts while an online request waits", id)
			}
		default:
			m.t.Errorf("%s starts while %q", id, m.state[id])
		}
	}
	for _, id := range d.Preempt {
		if m.state[id] != "item running" || m.nonPreemptible[id] {
			m.t.Errorf("%s is preempted while %q", id, m.state[id])
		}
		m.state[id] = "item preempting"
	}
	for _, r := range d.Refuse {
		if m.state[r.ID] != "waiting" {
			m.t.Errorf("%s is refused while %q", r.ID, m.state[r.ID])
		}
		delete(m.state, r.ID)
	}
}

func (m *modelTest) count(state string) int {
	n := 0
	for _, s := range m.state {
		if s == state {
			n++
		}
	}
	return n
}

// pick returns the ID of a random request or item in one of the states, or "" if
// it finds none.
func (m *modelTest) pick(states ...string) string {
	for i := range m.nextID { // does not iterate over the map, so that a seed determines the run
		id := fmt.Sprint((i + m.rand.IntN(m.nextID)) % m.nextID)
		for _, s := range states {
			if m.state[id] == s {
				return id
			}
		}
	}
	return ""
}

func (m *modelTest) randomOperation() {
	m.now = m.now.Add(time.Duration(m.rand.IntN(20)) * time.Millisecond)
	id := fmt.Sprint(m.nextID)
	switch m.rand.IntN(14) {
	case 0, 1, 2:
		m.nextID++
		m.state[id] = "waiting"
		r := lane.Request{ID: id, Customer: fmt.Sprint(m.rand.IntN(4)), Weight: float64(m.rand.IntN(3)), Cost: 1 + float64(m.rand.IntN(50))}
		if m.rand.IntN(2) == 0 {
			r.Deadline = m.now.Add(time.Duration(m.rand.IntN(200)) * time.Millisecond)
		}
		m.apply(m.q.Arrive(m.now, r))
	case 3:
		m.nextID++
		m.state[id] = "item waiting"
		m.nonPreemptible[id] = m.rand.IntN(4) == 0
		m.apply(m.q.AddItem(m.now, lane.Item{ID: id, Preemptible: !m.nonPreemptible[id], Resumable: m.rand.IntN(2) == 0}))
	case 4, 5:
		if id := m.pick("running"); id != "" {
			delete(m.state, id)
			m.apply(m.q.Finish(m.now, id, float64(m.rand.IntN(50))))
		}
	case 6:
		if id := m.pick("item running", "item preempting"); id != "" {
			if m.state[id] == "item preempting" && m.rand.IntN(2) == 0 {
				m.state[id] = "item waiting"
				m.apply(m.q.RequeueItem(m.now, id, 10))
				return
			}
			delete(m.state, id)
			m.apply(m.q.FinishItem(m.now, id))
		}
	case 8, 11, 12, 13:
		m.q.RecordToken(m.now)
	case 9:
		if id := m.pick("running"); id != "" {
			m.apply(m.q.RecordFirstToken(m.now, id, time.Millisecond))
		}
	case 10:
		if !m.wake.IsZero() {
			m.now = later(m.now, m.wake)
			m.apply(m.q.Tick(m.now))
			m.checkNoIdleSlot()
		}
	case 7:
		if id := m.pick("waiting"); id != "" && m.rand.IntN(2) == 0 {
			if !m.q.Cancel(id) {
				m.t.Errorf("Cancel(%s) is false, but the request is waiting", id)
			}
			delete(m.state, id)
		}
		if id := m.pick("item waiting"); id != "" {
			if !m.q.CancelItem(id) {
				m.t.Errorf("CancelItem(%s) is false, but the item is waiting", id)
			}
			delete(m.state, id)
		}
	}
}

// checkNoIdleSlot asserts that no preemptible item waits while a slot is free and
// no online request waits.
func (m *modelTest) checkNoIdleSlot() {
	free := m.slots - m.count("running") - m.count("item running") - m.count("item preempting")
	if m.count("waiting") > 0 || free <= 0 {
		return
	}
	for id, s := range m.state {
		if s == "item waiting" && !m.nonPreemptible[id] {
			m.t.Errorf("item %s waits after Tick while %d slots are free", id, free)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check compares the queue with the model after an operation.
func (m *modelTest) check() {
	preemptible := 0
	for id, s := range m.state {
		if s == "item running" && !m.nonPreemptible[id] {
			preemptible++
		}
	}
	waiting, preempting := m.count("waiting"), m.count("item preempting")
	if waiting != m.q.Waiting() {
		m.t.Errorf("model has %d waiting requests, queue has %d", waiting, m.q.Waiting())
	}
	if waiting > 0 && preemptible > 0 && preempting < waiting {
		m.t.Errorf("%d requests wait while %d preemptible items run and %d are being preempted", waiting, preemptible, preempting)
	}
	maxNonPreemptible := m.slots / 4
	if m.count("running")+preemptible+preempting > m.slots+max(1, maxNonPreemptible) {
		m.t.Errorf("more than %d slots are in use", m.slots)
	}
	if waiting > 0 && m.count("running")+preempting < m.slots && preemptible == 0 {
		m.t.Errorf("%d requests wait while slots are free", waiting)
	}
}

func TestQueue_RandomOperationsMatchModel(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			slots := 1 + r.IntN(8)
			checks := invariant.New(func(v invariant.Violation) { t.Error(v) })
			m := &modelTest{
				t: t, rand: r, now: epoch, slots: slots,
				q:              lane.New(lane.Options{Slots: slots, MaxQueued: 10, FirstTokenRatio: 1.05, Invariants: checks}),
				state:          make(map[string]string),
				nonPreemptible: make(map[string]bool),
				started:        make(map[string]int),
			}
			for range 400 {
				m.randomOperation()
				m.check()
				if t.Failed() {
					return
				}
			}
		})
	}
}

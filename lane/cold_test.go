package lane_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/lane"
)

// coldQueue drives a queue with a simulated clock and records when it starts requests and
// items.
type coldQueue struct {
	*lane.Queue
	now     time.Time
	wake    time.Time
	starts  []time.Time
	started map[string]bool
	refused []lane.Refusal
}

func newColdQueue(o lane.Options) *coldQueue {
	return &coldQueue{Queue: lane.New(o), now: epoch, started: make(map[string]bool)}
}

func (q *coldQueue) apply(d lane.Decision) {
	for _, id := range d.Start {
		q.starts = append(q.starts, q.now)
		q.started[id] = true
	}
	q.refused = append(q.refused, d.Refuse...)
	q.wake = d.Wake
}

// advance lets the time pass until at, with Tick at each wake time.
func (q *coldQueue) advance(at time.Time) {
	for !q.wake.IsZero() && !q.wake.After(at) {
		q.now = q.wake
		q.apply(q.Tick(q.now))
	}
	q.now = at
}

// maxPerSecond returns the most starts in any span of a second, its end excluded.
func maxPerSecond(starts []time.Time) int {
	most, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestQueue_ColdEndpointGetsItsRate replays bursts of requests and items, health checks
// and a frozen process at a cold endpoint. It guards against more starts in a second than
// the endpoint tolerates, against tokens that are not used while requests wait, and
// against items that go before requests.
func TestQueue_ColdEndpointGetsItsRate(t *testing.T) {
	const rate = 23
	for seed := range uint64(*seeds) {
		g := gomega.NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		q := newColdQueue(lane.Options{Slots: 64})
		q.apply(q.SetCold(q.now, rate, at(10_000)))
		for n := 0; q.now.Before(at(9_000)); n++ {
			switch random.IntN(20) {
			case 0:
				if wait, ok := q.ReserveStart(q.now, 50*time.Millisecond); ok {
					q.starts = append(q.starts, q.now.Add(wait))
				}
			case 1:
				q.now = q.now.Add(time.Duration(random.IntN(800)) * time.Millisecond) // no Tick meanwhile
			case 2, 3:
				q.apply(q.AddItem(q.now, lane.Item{ID: fmt.Sprint("i", n), Preemptible: true}))
			default:
				q.apply(q.Arrive(q.now, lane.Request{ID: fmt.Sprint("r", n), Customer: fmt.Sprint(random.IntN(3)), Cost: 10}))
			}
			q.advance(q.now.Add(time.Duration(random.IntN(40)) * time.Millisecond))
			for id := range q.started {
				if id[0] == 'i' {
					q.apply(q.FinishItem(q.now, id))
				} else {
					q.apply(q.Finish(q.now, id, 10))
				}
				delete(q.started, id)
			}
		}
		g.Expect(maxPerSecond(q.starts)).To(gomega.BeNumerically("<=", rate), "seed %d", seed)
		g.Expect(len(q.starts)).To(gomega.BeNumerically(">", 9*rate/2), "seed %d", seed)
	}
}

// TestQueue_ColdEndpointRefusesWithTheTimeOfItsToken guards against requests that wait at
// a cold endpoint while others are free, against a Retry-After before a token is due, and
// against a limit that outlasts the cold time.
func TestQueue_ColdEndpointRefusesWithTheTimeOfItsToken(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newColdQueue(lane.Options{Slots: 64})
	q.apply(q.SetCold(q.now, 10, at(3_000)))
	g.Expect(q.Cold(q.now)).To(gomega.BeTrue())
	for i := range 40 {
		q.apply(q.Arrive(q.now, lane.Request{ID: fmt.Sprint(i), Customer: "a", Cost: 1}))
	}
	g.Expect(q.starts).To(gomega.BeEmpty(), "the bucket starts empty")
	g.Expect(q.Waiting()).To(gomega.Equal(10))
	g.Expect(q.refused).To(gomega.HaveLen(30))
	g.Expect(q.refused[0].Reason).To(gomega.Equal(lane.EndpointCold))
	g.Expect(q.refused[0].RetryAfter).To(gomega.BeNumerically("~", 1100*time.Millisecond, time.Millisecond))
	g.Expect(q.ColdWait(q.now)).To(gomega.BeNumerically("~", 1100*time.Millisecond, time.Millisecond))
	g.Expect(q.StartableItems(q.now)).To(gomega.BeZero())

	q.apply(q.Arrive(q.now, lane.Request{ID: "late", Customer: "b", Cost: 1, Deadline: at(50)}))
	g.Expect(q.refused[30].Reason).To(gomega.Equal(lane.DeadlineMiss), "its token comes after its deadline")
	q.advance(at(1_000))
	g.Expect(q.starts).To(gomega.HaveLen(10))
	g.Expect(q.starts[9]).To(gomega.BeTemporally("~", at(1_000), time.Millisecond))

	q.advance(at(2_990))
	for i := range 9 {
		q.apply(q.Arrive(q.now, lane.Request{ID: fmt.Sprint("end", i), Customer: "a", Cost: 1}))
	}
	q.advance(at(3_000))
	g.Expect(q.starts).To(gomega.HaveLen(19), "all start once the endpoint is no longer cold")
	g.Expect(q.Cold(q.now)).To(gomega.BeFalse())
	g.Expect(q.StartableItems(q.now)).To(gomega.Equal(64 - 19))
}

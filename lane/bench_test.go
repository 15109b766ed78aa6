package lane_test

import (
	"fmt"
	"testing"

	"dandelionrelay/lane"
)

// BenchmarkDecision measures one arrival and one end of a request while the given
// number of requests of the given number of customers wait.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{1, 10, 100, 370} {
		for _, queued := range []int{0, 64, 512} {
			b.Run(fmt.Sprintf("customers=%d/queued=%d", customers, queued), func(b *testing.B) {
				benchmarkDecision(b, customers, queued)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, customers, queued int) {
	const slots = 16
	q := lane.New(lane.Options{Slots: slots, MaxQueued: queued + slots})
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer", i)
	}
	ids := make([]string, queued+2*slots)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	var running, free []string
	free = append(free, ids...)
	n := 0
	arrive := func() {
		id := free[0]
		free = free[1:]
		n++
		d := q.Arrive(at(n/10), lane.Request{ID: id, Customer: names[n%customers], Cost: 100, Deadline: at(1 << 40)})
		running = append(running, d.Start...)
	}
	for range queued + slots {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		id := running[0]
		running = running[1:]
		free = append(free, id)
		running = append(running, q.Finish(at(n/10), id, 90).Start...)
		arrive()
	}
}

// BenchmarkPreemption measures an arrival that preempts an item, and the end of
// the request.
func BenchmarkPreemption(b *testing.B) {
	for _, slots := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			q := lane.New(lane.Options{Slots: slots})
			for i := range slots {
				q.AddItem(at(0), lane.Item{ID: fmt.Sprint("item", i), Preemptible: true, Resumable: true})
			}
			b.ReportAllocs()
			for b.Loop() {
				d := q.Arrive(at(1), lane.Request{ID: "online", Customer: "c", Cost: 100})
				q.RequeueItem(at(1), d.Preempt[0], 100)
				q.Finish(at(2), "online", 100)
			}
		})
	}
}

// BenchmarkToken measures the recording of one streamed token.
func BenchmarkToken(b *testing.B) {
	e := newSaturatedEngine(16, 1.05)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if n++; n%16 == 0 {
			e.now = e.now.Add(e.stepDuration())
		}
		e.q.RecordToken(e.now)
	}
}

// BenchmarkFirstTokenPreemption measures an online request for whose first token
// items are preempted, and their restart.
func BenchmarkFirstTokenPreemption(b *testing.B) {
	for _, slots := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			e := newSaturatedEngine(slots, 1)
			preempted := 0
			b.ReportAllocs()
			for b.Loop() {
				slot := e.q.Arrive(e.now, lane.Request{ID: "online", Cost: 100}).Preempt[0]
				d := e.q.RequeueItem(e.now, slot, 0)
				ids := append([]string(nil), d.Preempt...)
				preempted += len(ids)
				for _, id := range ids {
					e.q.RequeueItem(e.now, id, 0)
				}
				e.q.RecordFirstToken(e.now, "online", 0)
				e.q.Finish(e.now, "online", 100)
				e.step()
			}
			b.ReportMetric(float64(preempted)/float64(b.N), "preempted/op")
		})
	}
}

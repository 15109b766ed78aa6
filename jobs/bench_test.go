package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
)

// jobHistory returns the records of one job, half of whose items are completed.
func jobHistory(items int) []infra.Record {
	var out []infra.Record
	add := func(h *header, bodies ...[]byte) {
		o := infra.Offset(len(out) + 1)
		out = append(out, infra.Record{Offset: o, ID: fmt.Sprint(o), Time: time.Unix(int64(o), 0), Data: encodeRecord(h, bodies...)})
	}
	body := []byte(strings.Repeat("x", 500))
	f := &fileRecord{ID: "f", Customer: "a", Upload: "u", Items: items, Targets: []target{{Deployment: "d", Idempotent: true}}}
	for first := 0; first < items; first += 1000 {
		c := &chunkHeader{Upload: "u", Seq: len(f.FirstItems), First: first}
		f.FirstItems = append(f.FirstItems, first)
		var bodies [][]byte
		for i := first; i < min(first+1000, items); i++ {
			c.Items = append(c.Items, chunkItem{CustomID: fmt.Sprintf("item-%d", i), Size: len(body)})
			bodies = append(bodies, body)
		}
		add(&header{Chunk: c}, bodies...)
	}
	add(&header{File: f, Job: &jobRecord{ID: "j", Customer: "a", File: "f"}})
	for first := 0; first < items/2; first += 100 {
		var facts []fact
		for i := first; i < first+100; i++ {
			facts = append(facts, fact{Kind: factDone, Job: "j", Item: i, CustomID: fmt.Sprintf("item-%d", i), Attempt: "entry-0-1", Status: 200, body: body})
		}
		o := infra.Offset(len(out) + 1)
		out = append(out, infra.Record{Offset: o, ID: fmt.Sprint(o), Data: encodeFacts(facts)})
	}
	return out
}

// BenchmarkRecovery replays a partition that holds one job.
func BenchmarkRecovery(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 160_000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			records := jobHistory(items)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)
			var t *Table
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				t = NewTable(nil)
				for _, r := range records {
					if err := t.Apply(r); err != nil {
						b.Fatal(err)
					}
				}
				t.List("")
			}
			b.StopTimer()
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(items), "B/item")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(items), "ns/item")
			runtime.KeepAlive(t)
			runtime.KeepAlive(records)
		})
	}
}

// BenchmarkGroupCommit counts the appends of one partition at several
// rates of completions, over a minute of simulated time.
func BenchmarkGroupCommit(b *testing.B) {
	for _, rate := range []int{1, 10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			groups, committed := 0, 0
			for b.Loop() {
				groups, committed = simulateCommits(rate, time.Minute)
			}
			b.ReportMetric(float64(groups)/60, "appends/s")
			b.ReportMetric(float64(committed)/60, "completions/s")
		})
	}
}

// simulateCommits runs a writer whose log takes 20 ms for an append, at a rate of
// completions a second. It returns the numbers of groups appended and of
// completions in them.
func simulateCommits(rate int, duration time.Duration) (groups, committed int) {
	const step, appendTime = 10 * time.Millisecond, 20 * time.Millisecond
	w := writer{nonce: "b"}
	rnd := rand.New(rand.NewPCG(1, 1))
	body := make([]byte, 1500)
	var inFlight *group
	var appendDone time.Time
	pendingCompletions := 0.0
	start := time.Unix(0, 0)
	for now := start; now.Sub(start) < duration; now = now.Add(step) {
		pendingCompletions += float64(rate) * step.Seconds() * 2 * rnd.Float64()
		for ; pendingCompletions >= 1; pendingCompletions-- {
			if !w.full() {
				w.add([]fact{{Kind: factDone, Job: "j", body: body}})
			}
		}
		if inFlight != nil && !now.Before(appendDone) {
			w.markStored(inFlight)
			inFlight = nil
		}
		before := len(w.pending)
		if g, _ := w.nextGroup(now); g != nil {
			inFlight, appendDone = g, now.Add(appendTime)
			groups++
			committed += before - len(w.pending)
		}
	}
	return groups, committed
}

// BenchmarkAssign assigns items of many jobs by fair queueing and reports each
// attempt as returned. The bodies of the items are not read.
func BenchmarkAssign(b *testing.B) {
	for _, customers := range []int{8, 370} {
		b.Run(fmt.Sprint(customers, "customers"), func(b *testing.B) {
			t := NewTable(nil)
			sched := newScheduler(nil, t, "o")
			offset := infra.Offset(1)
			for c := range customers {
				id := fmt.Sprint(c)
				ch := &chunkHeader{Upload: id, Items: make([]chunkItem, 2000)}
				f := &fileRecord{ID: id, Customer: id, Upload: id, Items: 2000, FirstItems: []int{0}, Targets: []target{{Deployment: "d", Idempotent: true}}}
				j := &jobRecord{ID: id, Customer: id, File: id, Expires: time.Unix(1<<32, 0)}
				_ = t.Apply(infra.Record{Offset: offset, ID: id, Data: encodeRecord(&header{Chunk: ch, File: f, Job: j})})
				offset++
			}
			fair := newFairQueue()
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				all := sched.candidates(now, "d", "s", true)
				c := all[fair.choose(all)]
				assigned, ok := sched.assign(now, c.job, "d", "s", true)
				if !ok {
					b.Fatal("no item left to assign")
				}
				fair.charge(c.customer, 1, 1)
				sched.report(now, "s", &api.Result{WorkRef: assigned.work.WorkRef, State: api.ResultReturned})
			}
		})
	}
}

// BenchmarkChunkReads counts the log reads per assigned item. The items, of 2 KiB
// in chunks of full size, are read for many jobs in rotation.
func BenchmarkChunkReads(b *testing.B) {
	ch := &chunkHeader{}
	for range ChunkBytes / 2048 {
		ch.Items = append(ch.Items, chunkItem{CustomID: "item", Size: 2048})
	}
	data := encodeRecord(&header{Chunk: ch}, make([]byte, ChunkBytes))
	for _, jobs := range []int{8, 64, 370} {
		b.Run(fmt.Sprint(jobs, "jobs"), func(b *testing.B) {
			log := &readCountingLog{data: data}
			c := newCache(log)
			n := 0
			for b.Loop() {
				job, item := n%jobs, n/jobs%len(ch.Items)
				if _, err := c.item(context.Background(), "s", infra.Offset(1+job), item); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(log.reads)/float64(b.N), "reads/item")
		})
	}
}

// readCountingLog is a log that holds the same record at each offset and counts
// reads.
type readCountingLog struct {
	infra.Log
	data  []byte
	reads int
}

func (r *readCountingLog) Read(_ context.Context, _ string, from infra.Offset, _ int, _ time.Duration) ([]infra.Record, error) {
	r.reads++
	return []infra.Record{{Offset: from, Data: r.data}}, nil
}

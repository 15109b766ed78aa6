package idempotency

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
)

// BenchmarkTable replays a stream of calls that began and ended, with 50 events
// in a record. It reports bytes of heap and microseconds per key.
func BenchmarkTable(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			records := stream(keys)
			for b.Loop() {
				before := heap()
				started := time.Now()
				tab := NewTable(DedupWindow, 1)
				for _, r := range records {
					tab.Apply(r)
				}
				took := time.Since(started)
				b.ReportMetric(float64(heap()-before)/float64(keys), "B/key")
				b.ReportMetric(float64(took.Microseconds())/float64(keys), "us/key")
				runtime.KeepAlive(tab)
			}
		})
	}
}

// stream returns the records of calls that began and ended, one for each key.
func stream(keys int) []infra.Record {
	const group = 25
	var records []infra.Record
	for first := 0; first < keys; first += group {
		var events []Event
		for n := range group {
			key := KeyOf("c", "r", fmt.Sprint(first+n))
			token := uuid.NewString()
			events = append(events,
				Event{Kind: Begin, Key: key, Token: token, Until: start.Add(time.Minute)},
				Event{Kind: End, Key: key, Token: token, Answer: &Answer{Status: 200}})
		}
		data, _ := json.Marshal(events)
		records = append(records, infra.Record{Offset: infra.Offset(len(records) + 1), Time: start, Data: data})
	}
	return records
}

// heap returns the bytes of heap in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

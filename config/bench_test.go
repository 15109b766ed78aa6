package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/infra"
)

// customerCounts are the numbers of customers of the benchmarks: the size
// expected in two years, and ten times that.
var customerCounts = []int{370, 3700}

// stateOfSize returns a state with the given number of customers, two keys for
// each customer, and 7 models.
func stateOfSize(customers int) *config.State {
	s := withCustomers(customers, 10)
	s.Keys = make(map[string]config.Key)
	for i := range 2 * customers {
		digest := fmt.Sprintf("%064x", i+1)
		s.Keys[fmt.Sprint("key-", i)] = config.Key{Customer: fmt.Sprint("c", i/2), Digest: digest}
	}
	s.Deployments = map[string]config.Deployment{}
	s.Routes = map[string]config.Route{}
	for i := range 7 {
		id := fmt.Sprint("m", i)
		s.Deployments[id] = config.Deployment{Kind: config.KindModel, Model: id, Slots: 8}
		s.Routes[id] = config.Route{Model: id, Deployment: id}
	}
	return s
}

// withKey returns s with one key added.
func withKey(s *config.State) *config.State {
	next, _ := s.Apply(&config.Delta{Keys: config.Changes[config.Key]{
		Set: map[string]config.Key{"new": {Customer: "c1", Digest: fmt.Sprintf("%064x", 1<<40)}},
	}}, config.Hash{})
	return next
}

// BenchmarkChange measures the cost of one change at an entry: decoding the
// record, applying it, and indexing the new version.
func BenchmarkChange(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			base := stateOfSize(n)
			full := &config.FullState{State: base, Hash: config.HashOf(base), Version: 1, Through: 1}
			rec := config.NewChange("id", 1, base, full.Hash, withKey(base), "ann", time.Now())
			data, err := json.Marshal(rec)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				r := config.NewReplica(nil)
				r.Restore(full)
				b.StartTimer()
				if v := r.Apply(infra.Record{Offset: 2, ID: "id", Data: data}); v != config.Accepted {
					b.Fatal(v)
				}
				config.NewSnapshot(r.Version(), r.State())
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
		})
	}
}

// BenchmarkFullState measures the cost of transferring the complete state to a
// process that starts, and its size in bytes.
func BenchmarkFullState(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			base := stateOfSize(n)
			full := &config.FullState{State: base, Hash: config.HashOf(base), Version: 1, Through: 1}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := json.Marshal(full)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				decoded := new(config.FullState)
				if err := json.Unmarshal(data, decoded); err != nil {
					b.Fatal(err)
				}
				if !config.NewReplica(nil).Restore(decoded) {
					b.Fatal("Restore rejected the decoded state")
				}
			}
			b.ReportMetric(float64(size), "bytes/state")
		})
	}
}

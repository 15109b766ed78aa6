package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/infra"
)

// sizes are numbers of customers: the two-year size, and ten times that.
var sizes = []int{370, 3700}

// sized returns a state with two keys for each customer.
func sized(customers int) *config.State {
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

// BenchmarkChange is the whole cost of one change at an entry: decoding the
// record, deciding on it, and indexing the new version.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			base := sized(n)
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

// BenchmarkFull is the cost of handing the whole state to a process that
// starts, and its size.
func BenchmarkFull(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			base := sized(n)
			full := &config.FullState{State: base, Hash: config.HashOf(base), Version: 1, Through: 1}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := json.Marshal(full)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				back := new(config.FullState)
				if err := json.Unmarshal(data, back); err != nil {
					b.Fatal(err)
				}
				if !config.NewReplica(nil).Restore(back) {
					b.Fatal("not restored")
				}
			}
			b.ReportMetric(float64(size), "bytes/state")
		})
	}
}

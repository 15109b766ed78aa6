package limit

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"runtime"
	"testing"
	"time"
)

// equalCustomers returns n customers with equal limits.
func equalCustomers(n int, l Limits) map[string]Limits {
	out := make(map[string]Limits, n)
	for i := range n {
		out[fmt.Sprintf("customer-%d", i)] = l
	}
	return out
}

// BenchmarkGranterTake measures a take call and its settlement for different
// numbers of customers, and the memory that a customer's shares take.
func BenchmarkGranterTake(b *testing.B) {
	for _, n := range []int{10, 100, 370, 3700} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			limits := equalCustomers(n, Limits{Rate: 60, Burst: 60})
			names := make([]string, 0, n)
			for id := range limits {
				names = append(names, id)
			}
			g := NewGranter(nil)
			g.SetLimits(start, limits)
			t := Tenure{Acquired: 1, Learnt: start}
			now := start
			take := func(i int) {
				now = now.Add(time.Millisecond)
				a := TakeArgs{Customer: names[i%n], Share: i % MaxShares, Amount: 1.0 / MaxShares}
				r := g.Take(now, t, a)
				g.Settle(now, Settlement{Customer: a.Customer, Share: a.Share, Tenure: r.Tenure, Grant: r.Grant})
			}
			for i := range n * MaxShares {
				take(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				take(i)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/customer")
			runtime.KeepAlive(g)
		})
	}
}

// BenchmarkAcquisition measures what an entry does for one request, without
// the messages.
func BenchmarkAcquisition(b *testing.B) {
	for _, p := range []policy{{name: "proportional"}, {name: "single", scheme: Single}} {
		b.Run(p.name, func(b *testing.B) {
			table, _ := newHolderTable("a")
			for i := range Partitions {
				table.partitions[i] = partitionState{epoch: 1, holder: "a", addr: "a"}
			}
			acquirer := NewAcquirer(table, p.scheme)
			b.ReportAllocs()
			for b.Loop() {
				acq := acquirer.Begin(start, "x", Limits{Rate: 60, Burst: 60})
				for _, call := range acq.Next(start).TakeCalls {
					acq.HandleReply(start, call, TakeReply{Held: true, Grant: 1, Amount: call.Args.Amount, Settle: true})
				}
				if acq.Next(start).Action != Admit {
					b.Fatal("not admitted")
				}
				acq.Finish(true)
			}
		})
	}
}

// BenchmarkFleet simulates 400 entries and 370 customers that send 22,000
// requests per second within their rates, for one second of virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, p := range []policy{{name: "proportional"}, {name: "single", scheme: Single}} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, 400, p, equalCustomers(370, Limits{Rate: 75, Burst: 150}))
				s.listLag = 0
				s.runFor(4 * time.Second)
				for i := range 22000 {
					customer := fmt.Sprintf("customer-%d", s.rnd.IntN(370))
					s.after(time.Duration(i)*time.Second/22000, func() { s.random().request(customer) })
				}
				s.runFor(2 * time.Second)
				var r result
				r.add(s)
				b.ReportMetric(float64(r.takeCalls)/float64(r.requests), "take-calls/request")
				b.ReportMetric(float64(r.settleCalls)/float64(r.requests), "settle-calls/request")
				b.ReportMetric(float64(r.refused)/float64(r.requests), "refused/request")
				b.ReportMetric(float64(len(r.violations)), "violations")
				b.ReportMetric(r.latency.Seconds()*1e3/float64(r.admitted), "added-ms")
				b.ReportMetric(float64(len(s.records)), "records")
			}
		})
	}
}

// BenchmarkMessageBytes measures the size of the messages of one take call and
// one settle call as net/rpc sends them on a connection in use.
func BenchmarkMessageBytes(b *testing.B) {
	customer := "customer-123"
	settlement := Settlement{Customer: customer, Share: 2, Tenure: 7, Grant: 123456}
	messages := map[string][]any{
		"take call":    {rpc.Request{ServiceMethod: MethodTake, Seq: 123456}, TakeArgs{Customer: customer, Share: 2, Amount: 1.0 / 3}},
		"take reply":   {rpc.Response{ServiceMethod: MethodTake, Seq: 123456}, TakeReply{Held: true, Grant: 123456, Tenure: 7, Amount: 1.0 / 3, Left: 12.345, Pending: 1.0 / 3, Settle: true}},
		"settle call":  {rpc.Request{ServiceMethod: MethodSettle, Seq: 123456}, SettleArgs{Grants: []Settlement{settlement}}},
		"settle reply": {rpc.Response{ServiceMethod: MethodSettle, Seq: 123456}, SettleReply{}},
	}
	for name, parts := range messages {
		b.Run(name, func(b *testing.B) {
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			for b.Loop() {
				buf.Reset()
				for _, part := range parts {
					if err := enc.Encode(part); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(buf.Len()), "B/message")
		})
	}
}

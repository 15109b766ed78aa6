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

// many returns n customers with like limits.
func many(n int, l Limits) map[string]Limits {
	out := make(map[string]Limits, n)
	for i := range n {
		out[fmt.Sprintf("customer-%d", i)] = l
	}
	return out
}

// BenchmarkMinterTake measures an ask and its settlement against the number
// of customers, and the memory that a customer's shares take.
func BenchmarkMinterTake(b *testing.B) {
	for _, n := range []int{10, 100, 370, 3700} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			limits := many(n, Limits{Rate: 60, Burst: 60})
			names := make([]string, 0, n)
			for id := range limits {
				names = append(names, id)
			}
			m := NewGranter(nil)
			m.SetLimits(start, limits)
			t := Tenure{Acquired: 1, Learnt: start}
			now := start
			take := func(i int) {
				now = now.Add(time.Millisecond)
				a := TakeArgs{Customer: names[i%n], Share: i % MaxShares, Amount: 1.0 / MaxShares}
				r := m.Take(now, t, a)
				m.Settle(now, Settlement{Customer: a.Customer, Share: a.Share, Tenure: r.Tenure, Grant: r.Grant})
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
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkGather measures what an entry does for one request, without the
// messages.
func BenchmarkGather(b *testing.B) {
	for _, p := range []policy{{name: "proportional"}, {name: "single", scheme: Single}} {
		b.Run(p.name, func(b *testing.B) {
			table, _ := holder("a")
			for i := range Partitions {
				table.slots[i] = slot{epoch: 1, holder: "a", addr: "a"}
			}
			taker := NewAcquirer(table, p.scheme)
			b.ReportAllocs()
			for b.Loop() {
				g := taker.Begin(start, "x", Limits{Rate: 60, Burst: 60})
				for _, a := range g.Next(start).TakeCalls {
					g.HandleReply(start, a, TakeReply{Held: true, Grant: 1, Amount: a.Args.Amount, Settle: true})
				}
				if g.Next(start).Action != Admit {
					b.Fatal("not admitted")
				}
				g.Finish(true)
			}
		})
	}
}

// BenchmarkFleet runs 400 entries and 370 customers that send 22,000 requests
// a second, within their rates, for a second of virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, p := range []policy{{name: "proportional"}, {name: "single", scheme: Single}} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, 400, p, many(370, Limits{Rate: 75, Burst: 150}))
				s.listLag = 0
				s.runFor(4 * time.Second)
				for i := range 22000 {
					customer := fmt.Sprintf("customer-%d", s.rnd.IntN(370))
					s.after(time.Duration(i)*time.Second/22000, func() { s.random().request(customer) })
				}
				s.runFor(2 * time.Second)
				var r result
				r.add(s)
				b.ReportMetric(float64(r.asks)/float64(r.all), "asks/request")
				b.ReportMetric(float64(r.settles)/float64(r.all), "settles/request")
				b.ReportMetric(float64(r.refused)/float64(r.all), "refused/request")
				b.ReportMetric(float64(len(r.over)), "over")
				b.ReportMetric(r.latency.Seconds()*1e3/float64(r.admitted), "added-ms")
				b.ReportMetric(float64(len(s.records)), "records")
			}
		})
	}
}

// BenchmarkMessageBytes measures the size of the messages of one ask and one
// settlement as net/rpc sends them on a connection in use.
func BenchmarkMessageBytes(b *testing.B) {
	customer := "customer-123"
	settlement := Settlement{Customer: customer, Share: 2, Tenure: 7, Grant: 123456}
	messages := map[string][]any{
		"ask":        {rpc.Request{ServiceMethod: MethodTake, Seq: 123456}, TakeArgs{Customer: customer, Share: 2, Amount: 1.0 / 3}},
		"answer":     {rpc.Response{ServiceMethod: MethodTake, Seq: 123456}, TakeReply{Held: true, Grant: 123456, Tenure: 7, Amount: 1.0 / 3, Left: 12.345, Pending: 1.0 / 3, Settle: true}},
		"settlement": {rpc.Request{ServiceMethod: MethodSettle, Seq: 123456}, SettleArgs{Grants: []Settlement{settlement}}},
		"settled":    {rpc.Response{ServiceMethod: MethodSettle, Seq: 123456}, SettleReply{}},
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

package sidecar_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/lane"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

var measure = flag.Bool("measure", false, "print the tables of docs/sidecar.md")

// The workload of the measurements, on one engine.
const (
	measureSlots   = 16
	measureTime    = 3 * time.Minute
	onlineTokens   = 64
	batchTokens    = 256
	quietRate      = 5.0  // online requests per second between bursts
	burstRate      = 40.0 // ... and in one
	burstEvery     = 10 * time.Second
	burstLength    = 1500 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
)

// scheme is one way to run the workload.
type scheme struct {
	name    string
	policy  lane.Policy
	limit   lane.BatchLimit
	batch   bool
	through bool // batch goes through the online queue
}

// figures of one scheme.
type figures struct {
	p50, p99   time.Duration // online time to the first token
	idleUsed   float64       // share of the slot time left by online requests
	tokens     uint64        // generated, online and batch
	refused    int
	perRequest []time.Duration
}

// load is an open-loop run of the workload.
type load struct {
	*rig
	engine *engine.Engine
	rnd    *rand.Rand
	mu     sync.Mutex
	figures
	group sync.WaitGroup
}

// next returns the time to the next online arrival, at elapsed.
func (l *load) next(elapsed time.Duration) time.Duration {
	rate := quietRate
	if elapsed%burstEvery < burstLength {
		rate = burstRate
	}
	return time.Duration(l.rnd.ExpFloat64() / rate * float64(time.Second))
}

// send makes one streamed request and notes the time to its first byte.
func (l *load) send(ctx context.Context, id, customer string, tokens int) (ok bool) {
	body := streamed(chat("question "+id+strings.Repeat(" seed", 60), tokens))
	start := time.Now()
	resp, err := l.do(ctx, call{id: id, customer: customer, body: body})
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return false
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return false
	}
	first := time.Since(start)
	if _, err := io.Copy(io.Discard, r); err != nil {
		return false
	}
	if customer != "ledger" {
		l.mu.Lock()
		l.perRequest = append(l.perRequest, first)
		l.mu.Unlock()
	}
	return true
}

// onlineLoad sends online requests for the time of the measurement.
func (l *load) onlineLoad() {
	start := time.Now()
	for i := 0; time.Since(start) < measureTime; i++ {
		l.group.Go(func() {
			if !l.send(l.t.Context(), fmt.Sprint("r", i), fmt.Sprint("c", i%8), onlineTokens) {
				l.mu.Lock()
				l.refused++
				l.mu.Unlock()
			}
		})
		time.Sleep(l.next(time.Since(start)))
	}
}

// batchThrough keeps twice the slots of items in the online queue.
func (l *load) batchThrough(ctx context.Context) {
	for w := range 2 * measureSlots {
		l.group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.send(ctx, fmt.Sprintf("b%d-%d", w, i), "ledger", batchTokens)
			}
		})
	}
}

// sample adds up the slots that online requests leave and that batch uses.
func (l *load) sample(ctx context.Context) {
	idle, used := 0, 0
	for ctx.Err() == nil {
		online, batch := l.sidecar.Load()
		idle += measureSlots - online
		used += min(batch, measureSlots-online)
		time.Sleep(sampleInterval)
	}
	l.idleUsed = float64(used) / float64(idle)
}

func runScheme(t *testing.T, s scheme) figures {
	var out figures
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		e := newEngine(t, engine.Options{CacheBlocks: 1 << 14})
		l := &load{engine: e, rnd: rand.New(rand.NewPCG(1, 1))}
		l.rig = newRig(t, e, modelDeployment(measureSlots), withBatch(src), func(st *sidecar.Settings, _ *sidecar.Deps) {
			st.Policy, st.BatchLimit = s.policy, s.limit
		})
		ctx, cancel := context.WithCancel(t.Context())
		if s.batch && !s.through {
			for i := range 5000 {
				src.add(work(i, chat(fmt.Sprint("item ", i, strings.Repeat(" ledger", 100)), batchTokens)))
			}
			l.runBatch()
		}
		if s.through {
			l.batchThrough(ctx)
		}
		time.Sleep(2 * time.Second) // batch fills up
		l.group.Go(func() { l.sample(ctx) })
		before := e.Stats().Tokens
		l.onlineLoad()
		l.tokens = e.Stats().Tokens - before
		cancel()
		l.group.Wait()
		slices.Sort(l.perRequest)
		n := len(l.perRequest)
		l.p50, l.p99 = l.perRequest[n/2], l.perRequest[n*99/100]
		out = l.figures
	})
	return out
}

func TestMeasureBatchAgainstOnline(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	steered := lane.BatchLimit{Target: 60 * time.Millisecond, Interval: 500 * time.Millisecond}
	schemes := []scheme{
		{name: "without batch"},
		{name: "lanes", batch: true},
		{name: "lanes, reserve 1", batch: true, limit: lane.BatchLimit{Reserve: 1}},
		{name: "lanes, reserve 2", batch: true, limit: lane.BatchLimit{Reserve: 2}},
		{name: "lanes, reserve 4", batch: true, limit: lane.BatchLimit{Reserve: 4}},
		{name: "lanes, steered to 60 ms", batch: true, limit: steered},
		{name: "lanes, burst reserve 2", batch: true, limit: lane.BatchLimit{BurstReserve: 2}},
		{name: "lanes, burst reserve 4", batch: true, limit: lane.BatchLimit{BurstReserve: 4}},
		{name: "lanes, burst reserve 8", batch: true, limit: lane.BatchLimit{BurstReserve: 8}},
		{name: "lanes, burst reserve 16", batch: true, limit: lane.BatchLimit{BurstReserve: 16}},
		{name: "no preemption", batch: true, policy: lane.NoPreemption},
		{name: "FIFO, batch queued with online", batch: true, policy: lane.FIFO, through: true},
	}
	var base figures
	var table strings.Builder
	fmt.Fprintf(&table, "\n| scheme | p50 ms | p99 ms | p99 ratio | idle slot time used | tokens | online not served |\n")
	for i, s := range schemes {
		f := runScheme(t, s)
		if i == 0 {
			base = f
		}
		ratio := float64(f.p99) / float64(base.p99)
		fmt.Fprintf(&table, "| %s | %.1f | %.1f | %.3f | %.3f | %d | %d |\n", s.name,
			ms(f.p50), ms(f.p99), ratio, f.idleUsed, f.tokens, f.refused)
	}
	t.Log(table.String())
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fairness runs eight customers of equal weight, one of which sends five times
// its share, and returns the served part of the worst-served other one.
func fairness(t *testing.T, policy lane.Policy) (worst float64) {
	const customers, capacity = 8, 16.0 // requests per second that the engine serves, about
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{})
		l := &load{engine: e, rnd: rand.New(rand.NewPCG(1, 1))}
		l.rig = newRig(t, e, modelDeployment(measureSlots), func(st *sidecar.Settings, _ *sidecar.Deps) { st.Policy = policy })
		var sent, served [customers]int
		for c := range customers {
			rate := capacity / customers
			if c == 0 {
				rate *= 5
			}
			rnd := rand.New(rand.NewPCG(uint64(c), 3))
			l.group.Go(func() {
				start := time.Now()
				for i := 0; time.Since(start) < measureTime; i++ {
					sent[c]++
					l.group.Go(func() {
						ctx, cancel := context.WithTimeout(l.t.Context(), 5*time.Second)
						defer cancel()
						if l.send(ctx, fmt.Sprintf("%d-%d", c, i), fmt.Sprint("c", c), onlineTokens) {
							l.mu.Lock()
							served[c]++
							l.mu.Unlock()
						}
					})
					time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
				}
			})
		}
		l.group.Wait()
		worst = 1
		for c := 1; c < customers; c++ {
			worst = min(worst, float64(served[c])/float64(sent[c]))
		}
		t.Logf("policy %d: sent %v, served %v", policy, sent, served)
	})
	return worst
}

func TestMeasureWorstServedCustomer(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	lanes, fifo := fairness(t, lane.Lanes), fairness(t, lane.FIFO)
	t.Logf("\n| scheme | worst-served customer, served over sent |\n| start-time fair queueing | %.3f |\n| FIFO | %.3f |", lanes, fifo)
}

package sidecar_test

import (
	"bufio"
	"cmp"
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

	"dandelionrelay/config"
	"dandelionrelay/lane"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

var measure = flag.Bool("measure", false, "print the tables of docs/sidecar.md")

// The workload of the measurements, on one engine.
const (
	measureSlots   = 16
	measureTime    = 2 * time.Minute
	measureSeeds   = 3
	onlineTokens   = 64
	batchTokens    = 256
	quietRate      = 5.0  // online requests per second between bursts
	burstRate      = 40.0 // ... and in one, above what the engine serves
	mildBurstRate  = 12.0 // ... and in one that the engine serves
	burstEvery     = 10 * time.Second
	burstLength    = 1500 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
)

// scheme is one way to run the workload.
type scheme struct {
	name    string
	policy  lane.Policy
	limit   lane.BatchLimit
	ratio   float64 // first_token_ratio of the deployment
	burst   float64 // online requests per second in a burst
	cached  bool    // the prompts of batch are in the engine's cache
	batch   bool
	through bool // batch goes through the online queue
}

// figures of one scheme.
type figures struct {
	idle       int    // samples of slots that online requests left
	used       int    // of them, used by batch
	tokens     uint64 // generated, online and batch
	refused    int
	perRequest []firstToken    // of online requests
	gaps       []time.Duration // between tokens of online requests
	online     int             // tokens of online answers
	parts      []parts         // of perRequest
}

func (f *figures) add(other figures) {
	f.idle += other.idle
	f.used += other.used
	f.tokens += other.tokens
	f.refused += other.refused
	f.perRequest = append(f.perRequest, other.perRequest...)
	f.gaps = append(f.gaps, other.gaps...)
	f.online += other.online
	f.parts = append(f.parts, other.parts...)
}

// gap returns the time between tokens within which a part of them lies.
func (f *figures) gap(q float64) time.Duration {
	slices.Sort(f.gaps)
	return f.gaps[int(q*float64(len(f.gaps)-1))]
}

// quantile returns the time to the first token within which a part of the
// requests lies.
func (f *figures) quantile(q float64) time.Duration {
	slices.SortFunc(f.perRequest, func(a, b firstToken) int { return cmp.Compare(a.time, b.time) })
	return f.perRequest[int(q*float64(len(f.perRequest)-1))].time
}

// load is an open-loop run of the workload.
type load struct {
	*rig
	engine *engine.Engine
	rnd    *rand.Rand
	burst  float64 // online requests per second in a burst
	mu     sync.Mutex
	figures
	group sync.WaitGroup
}

// next returns the time to the next online arrival, at elapsed.
func (l *load) next(elapsed time.Duration) time.Duration {
	rate := quietRate
	if elapsed%burstEvery < burstLength {
		rate = l.burst
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
	gaps, ok := tokenGaps(r)
	if ok && customer != "ledger" {
		l.mu.Lock()
		l.perRequest = append(l.perRequest, firstToken{id: id, sent: start, time: first})
		l.gaps = append(l.gaps, gaps...)
		l.online += tokens
		l.mu.Unlock()
	}
	return ok
}

// tokenGaps reads the rest of an answer and returns the times between its
// tokens.
func tokenGaps(r *bufio.Reader) (gaps []time.Duration, ok bool) {
	last := time.Now()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return gaps, err == io.EOF
		}
		if !strings.HasPrefix(line, "data: {") {
			continue
		}
		now := time.Now()
		gaps = append(gaps, now.Sub(last))
		last = now
	}
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
	l.idle, l.used = idle, used
}

// ledgerPrompt returns the prompt of an item. What differs between items stands
// at its end if the rest is to be cached.
func ledgerPrompt(item int, cached bool) string {
	ledgers := strings.Repeat(" ledger", 100)
	if cached {
		return fmt.Sprint(ledgers, " item ", item)
	}
	return fmt.Sprint("item ", item, ledgers)
}

// runScheme runs the workload of one seed.
func runScheme(t *testing.T, s scheme, seed uint64) figures {
	var out figures
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		d := modelDeployment(measureSlots)
		d.FirstTokenRatio = s.ratio
		var log stepLog
		e := newEngine(t, engine.Options{CacheBlocks: 1 << 14, OnStep: log.add})
		l := &load{engine: e, rnd: rand.New(rand.NewPCG(seed, 1)), burst: s.burst}
		l.rig = newRig(t, e, d, withBatch(src), func(st *sidecar.Settings, _ *sidecar.Deps) {
			st.Policy, st.BatchLimit = s.policy, s.limit
		})
		ctx, cancel := context.WithCancel(t.Context())
		if s.batch && !s.through {
			for i := range 5000 {
				src.add(work(i, chat(ledgerPrompt(i, s.cached), batchTokens)))
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
		l.parts = breakDown(l.perRequest, log.all())
		out = l.figures
	})
	return out
}

func TestMeasureBatchAgainstOnline(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	steered := lane.BatchLimit{Target: 60 * time.Millisecond, Interval: 500 * time.Millisecond}
	within := []scheme{
		{name: "without batch"},
		{name: "lanes, batch in every idle slot", batch: true, ratio: config.MaxFirstTokenRatio},
		{name: "lanes, reserve 4", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{Reserve: 4}},
		{name: "lanes, steered to 60 ms", batch: true, ratio: config.MaxFirstTokenRatio, limit: steered},
		{name: "lanes, first token 1.25", batch: true, ratio: 1.25},
		{name: "lanes, first token 1.05", batch: true, ratio: 1.05},
		{name: "lanes, first token 0.9", batch: true},
		{name: "lanes, first token 0.8", batch: true, ratio: 0.8},
		{name: "no preemption", batch: true, policy: lane.NoPreemption},
	}
	printTable(t, "bursts within what the engine serves", mildBurstRate, within)
	cached := slices.Clone(within[:7])
	for i := range cached {
		cached[i].cached = true
	}
	printTable(t, "the same, prompts of batch in the engine's cache", mildBurstRate, cached)
	above := append(slices.Clone(within),
		scheme{name: "lanes, reserve 1", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{Reserve: 1}},
		scheme{name: "lanes, reserve 2", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{Reserve: 2}},
		scheme{name: "FIFO, batch queued with online", batch: true, policy: lane.FIFO, through: true},
	)
	printTable(t, "bursts above what the engine serves", burstRate, above)
}

// printTable runs the schemes; the first is the base of the ratios.
func printTable(t *testing.T, title string, burst float64, schemes []scheme) {
	results := make([]figures, len(schemes))
	t.Run(title, func(t *testing.T) {
		for i, s := range schemes {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				s.burst = burst
				for seed := range uint64(measureSeeds) {
					results[i].add(runScheme(t, s, seed))
				}
			})
		}
	})
	var base, gapBase time.Duration
	var table strings.Builder
	fmt.Fprintf(&table, "\n%s\n| scheme | p50 ms | p99 ms | p99 ratio | p95 between tokens ms | ratio | idle slot time used | batch tokens/s | online not served |\n", title)
	for i, s := range schemes {
		f := &results[i]
		if len(f.perRequest) == 0 {
			continue // not selected by -run
		}
		p99, gap := f.quantile(0.99), f.gap(0.95)
		if base == 0 {
			base, gapBase = p99, gap
		}
		idle := "-"
		if !s.through {
			idle = fmt.Sprintf("%.3f", float64(f.used)/float64(f.idle))
		}
		fmt.Fprintf(&table, "| %s | %.1f | %.1f | %.3f | %.1f | %.3f | %s | %.0f | %d |\n", s.name,
			ms(f.quantile(0.5)), ms(p99), float64(p99)/float64(base),
			ms(gap), float64(gap)/float64(gapBase), idle, (float64(f.tokens)-float64(f.online))/measureSeeds/measureTime.Seconds(), f.refused)
	}
	t.Log(table.String())
	for i, s := range schemes {
		if !s.through && len(results[i].parts) > 0 {
			t.Log(s.name, tailParts(results[i].parts))
		}
	}
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

package sidecar_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
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
	name     string
	policy   lane.Policy
	limit    lane.BatchLimit
	ratio    float64 // first_token_ratio of the deployment
	burst    float64 // online requests per second in a burst
	cached   bool    // the prompts of batch are in the engine's cache
	batch    bool
	through  bool // batch goes through the online queue
	sidecars int  // with the same load each; 0 means 1
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

// ledgerPrompt returns the prompt of an item. What differs between items stands
// at its end if the rest is to be cached.
func ledgerPrompt(item int, cached bool) string {
	ledgers := strings.Repeat(" ledger", 100)
	if cached {
		return fmt.Sprint(ledgers, " item ", item)
	}
	return fmt.Sprint("item ", item, ledgers)
}

// newLoad returns a load on a sidecar and an engine of its own.
func newLoad(t *testing.T, s scheme, src *source, rnd *rand.Rand) *load {
	d := modelDeployment(measureSlots)
	d.FirstTokenRatio = s.ratio
	l := &load{rnd: rnd, burst: s.burst}
	l.engine = newEngine(t, engine.Options{CacheBlocks: 1 << 14, OnStep: l.log.add})
	l.rig = newRig(t, l.engine, d, withBatch(src), func(st *sidecar.Settings, _ *sidecar.Deps) {
		st.Policy, st.BatchLimit = s.policy, s.limit
	})
	if s.batch && !s.through {
		l.runBatch()
	}
	return l
}

// run runs the load for the time of the measurement.
func (l *load) run(ctx context.Context, s scheme) {
	ctx, cancel := context.WithCancel(ctx)
	if s.through {
		l.batchThrough(ctx)
	}
	time.Sleep(2 * time.Second) // batch fills up
	l.group.Go(func() { l.sample(ctx) })
	before := l.engine.Stats().Tokens
	l.onlineLoad()
	l.tokens = l.engine.Stats().Tokens - before
	cancel()
	l.group.Wait()
	l.parts = breakDown(l.perRequest, l.log.all())
}

// runScheme runs the workload of one seed at each sidecar, with one owner of
// the batch items.
func runScheme(t *testing.T, s scheme, seed uint64) figures {
	var out figures
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		if s.batch && !s.through {
			for i := range 5000 * max(1, s.sidecars) {
				src.add(work(i, chat(ledgerPrompt(i, s.cached), batchTokens)))
			}
		}
		var loads []*load
		var group sync.WaitGroup
		for n := range max(1, s.sidecars) {
			l := newLoad(t, s, src, rand.New(rand.NewPCG(seed, uint64(1+n))))
			loads = append(loads, l)
			group.Go(func() { l.run(t.Context(), s) })
		}
		group.Wait()
		for _, l := range loads {
			out.add(l.figures)
		}
	})
	return out
}

func TestMeasureBatchAgainstOnline(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	steered := lane.BatchLimit{FirstTokenTarget: 60 * time.Millisecond, Interval: 500 * time.Millisecond}
	within := []scheme{
		{name: "without batch"},
		{name: "lanes, batch in every idle slot", batch: true, ratio: config.MaxFirstTokenRatio},
		{name: "lanes, reserve 4", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{ReservedSlots: 4}},
		{name: "lanes, steered to 60 ms", batch: true, ratio: config.MaxFirstTokenRatio, limit: steered},
		{name: "lanes, first token 1.25", batch: true, ratio: 1.25},
		{name: "lanes, first token 1.05", batch: true, ratio: 1.05},
		{name: "lanes, first token 0.9", batch: true},
		{name: "lanes, first token 0.8", batch: true, ratio: 0.8},
		{name: "no preemption", batch: true, policy: lane.NonPreemptivePriority},
	}
	printTable(t, "bursts within what the engine serves", mildBurstRate, within)
	cached := slices.Clone(within[:7])
	for i := range cached {
		cached[i].cached = true
	}
	printTable(t, "the same, prompts of batch in the engine's cache", mildBurstRate, cached)
	above := append(slices.Clone(within),
		scheme{name: "lanes, reserve 1", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{ReservedSlots: 1}},
		scheme{name: "lanes, reserve 2", batch: true, ratio: config.MaxFirstTokenRatio, limit: lane.BatchLimit{ReservedSlots: 2}},
		scheme{name: "FIFO, batch queued with online", batch: true, policy: lane.FIFO, through: true},
	)
	printTable(t, "bursts above what the engine serves", burstRate, above)
}

func TestMeasureBatchAtSeveralSidecars(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	for _, n := range []int{1, 2, 3} {
		printTable(t, fmt.Sprint(n, " sidecars, one owner"), mildBurstRate, []scheme{
			{name: "without batch", sidecars: n},
			{name: "lanes, batch in every idle slot", batch: true, ratio: config.MaxFirstTokenRatio, sidecars: n},
			{name: "lanes, first token 0.9", batch: true, sidecars: n},
		})
	}
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

package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Cache sizes of the comparison, in blocks: one that holds the shared prompts
// of all customers and much of the sessions, and one that holds a part.
var caches = []int{3000, 400}

// BenchmarkSchemes prints the schemes side by side:
//
//	go test ./dispatch -run '^$' -bench Schemes -benchtime 1x
func BenchmarkSchemes(b *testing.B) {
	for b.Loop() {
		fmt.Println("\nentries endpoints cache  load scheme                   hits  p50 ms  p99 ms  remote  busiest/mean")
		for _, size := range []struct{ entries, endpoints int }{{4, 12}, {40, 240}, {400, 2400 / 7}} {
			for _, cache := range caches {
				for _, load := range []float64{8, 14} {
					compare(size.entries, size.endpoints, cache, load)
				}
			}
		}
	}
}

// compare prints one line for each scheme.
func compare(entries, endpoints, cache int, load float64) {
	for _, sch := range []scheme{schemeRandom, schemeLeast, schemeSampled, schemeAffinity, schemeSession} {
		r := simulate(simConfig{
			scheme: sch, entries: entries, endpoints: endpoints, load: load, cache: cache,
			requests: max(20_000, 80*endpoints), seed: 1,
		})
		fmt.Printf("%7d %9d %5d %5.0f %-23s %5.2f %7.1f %7.1f %7.2f %7.2f\n", entries, endpoints,
			cache, load, sch, r.hits, ms(r.p50), ms(r.p99), r.remote, r.imbalance)
	}
}

// BenchmarkBudget prints a fleet with half of its endpoints refusing, with the
// retry budget and without, with suspicion of failed endpoints and without:
//
//	go test ./dispatch -run '^$' -bench Budget -benchtime 1x
func BenchmarkBudget(b *testing.B) {
	for b.Loop() {
		fmt.Println("\nbudget suspicion  attempts/request  given up  p99 ms")
		for _, c := range []struct{ budget, suspect bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
			r := simulate(simConfig{
				scheme: schemeSampled, entries: 4, endpoints: 12, load: 5, requests: 20_000, seed: 1,
				cache: caches[0], half: true, budget: c.budget, suspect: c.suspect,
			})
			fmt.Printf("%-6t %-9t %17.3f %9.4f %7.1f\n", c.budget, c.suspect, r.attempts, r.refused, ms(r.p99))
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/config"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
	"dandelionrelay/upstream"
)

func coldTolerance(s *settings.Gateway) placement.ColdTolerance {
	return placement.ColdTolerance{Excess: s.ColdExcess, Slack: s.ColdSlack}
}

// coldState is what setColdRates has put into force.
type coldState struct {
	mu    sync.Mutex
	rates map[string]placement.ColdRate // of the last configuration
}

// setColdRates puts the cold rates of a configuration into force, or, if s is nil, those of the
// last one again with changed settings. Without a deployment that has, or had, a cold rate, it
// does nothing.
func (g *Gateway) setColdRates(s *config.State) {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	if s != nil {
		g.cold.rates = coldRates(s)
	}
	if len(g.cold.rates) == 0 && !g.coldInUse.Load() {
		return
	}
	g.table.SetColdRates(g.Clock(), g.coldLimits, g.cold.rates, coldTolerance(g.settings.Load()))
	g.coldInUse.Store(true)
	g.stateCold(nil) // endpoints that are listed and count as cold from now on
}

// coldRates returns the cold rates of a configuration by deployment.
func coldRates(s *config.State) map[string]placement.ColdRate {
	rates := make(map[string]placement.ColdRate)
	for id, d := range s.Deployments {
		if d.HasColdRate() {
			rates[id] = placement.ColdRate{Rate: d.ColdRate, Time: time.Duration(d.ColdTime)}
		}
	}
	return rates
}

// stateCold applies what registrations say of how long endpoints remain cold.
func (g *Gateway) stateCold(statements map[placement.Key]placement.ColdNotice) {
	for _, c := range g.table.StateCold(g.Clock(), statements) {
		upstream.LogCold(g.Log, c)
	}
}

// coldEndInterval is the interval at which logColdEnds looks for endpoints.
const coldEndInterval = time.Second

// logColdEnds logs the endpoints whose cold time is over.
func (g *Gateway) logColdEnds(ctx context.Context) {
	tick := time.NewTicker(coldEndInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, c := range g.table.EndedCold(g.Clock()) {
			upstream.LogCold(g.Log, c)
		}
	}
}

// localCounts returns the counts of this entry that others need: of customers, and of
// requests to cold endpoints. With the latter, counts of 0 are left out, as one entry uses
// few of the cold endpoints that others report.
func (g *Gateway) localCounts() map[quota.Key]quota.Count {
	counts := g.limits.LocalCounts()
	if !g.coldInUse.Load() {
		return counts
	}
	for key, count := range g.coldLimits.LocalCounts() {
		counts[key] += count
		if counts[key] == 0 {
			delete(counts, key)
		}
	}
	return counts
}

// registerColdMetrics registers the metrics of cold endpoints.
func (g *Gateway) registerColdMetrics() {
	counter := func(name, help string, value func(placement.ColdStats) uint64) {
		g.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value(g.table.ColdStats())) }))
	}
	counter("relay_cold_tokens_total", "Tokens taken for requests and batch items to cold endpoints.",
		func(s placement.ColdStats) uint64 { return s.Granted })
	counter("relay_cold_passed_over_total", "Failed attempts to take a token at a cold endpoint, from its shared rate or this entry's part.",
		func(s placement.ColdStats) uint64 { return s.Refused })
	counter("relay_cold_malformed_total", "Statements of endpoints about how long they remain cold that could not be used.",
		func(s placement.ColdStats) uint64 { return s.Malformed })
	g.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "relay_cold_endpoints",
		Help: "Listed endpoints that count as cold.",
	}, func() float64 { return float64(g.table.ColdEndpoints(g.Clock())) }))
}

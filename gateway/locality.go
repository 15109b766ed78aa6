package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/locality"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
)

// evacuationMargin is subtracted from the evacuation bound. A request takes at most this
// long from the last check, right before it is sent, to the endpoint.
const evacuationMargin = 350 * time.Millisecond

// evacuationOutage is the time for which reads of the store must have failed before an entry
// goes on with unconfirmed evacuations. The first read of a process that is resumed often
// fails, as its connection has timed out, and the next one brings what was missed.
const evacuationOutage = time.Second

// localityMetrics are the metrics of evacuations and homes.
type localityMetrics struct {
	evacuated *prometheus.GaugeVec
	preempted prometheus.Counter
}

func newLocalityMetrics(reg prometheus.Registerer) localityMetrics {
	m := localityMetrics{
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relay_evacuated_data_centre",
			Help: "1 for each data centre that this entry knows to be evacuated.",
		}, []string{"data_centre"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "relay_evacuation_preempted_items_total",
			Help: "Batch items of this entry that were preempted because their data centre was evacuated.",
		}),
	}
	reg.MustRegister(m.evacuated, m.preempted)
	return m
}

// regions returns the regions of data centres, that of this entry included.
func (g *Gateway) regions() locality.Regions {
	s := g.settings.Load()
	if s.Region == "" || s.Regions[s.DataCentre] != "" {
		return s.Regions
	}
	regions := locality.Regions{s.DataCentre: s.Region}
	maps.Copy(regions, s.Regions)
	return regions
}

// localityState is what applyLocality has put into force.
type localityState struct {
	mu           sync.Mutex
	state        *config.State
	applied      bool     // the table has a policy
	unknownHomes []string // logged last; see logUnknownHomes
}

// applyLocality puts the evacuations and homes of a configuration into force, or, if s is
// nil, those of the last one again with changed settings. It does nothing before evacuations,
// homes or regions are first set.
func (g *Gateway) applyLocality(s *config.State) {
	l := &g.locality
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil {
		l.state = new(config.State)
	}
	if s == nil {
		s = l.state
	}
	regions := g.regions()
	before := l.state.Evacuations
	l.state = s
	if !l.applied && len(s.Evacuations) == 0 && len(regions) == 0 && !anyHomes(s) {
		return
	}
	l.applied = true
	preempted := g.table.SetPolicy(locality.NewPolicy(regions, s.Evacuations))
	g.localityMetrics.preempted.Add(float64(preempted))
	for dataCentre := range before {
		g.localityMetrics.evacuated.DeleteLabelValues(dataCentre)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Evacuations)) {
		g.localityMetrics.evacuated.WithLabelValues(dataCentre).Set(1)
		if !before[dataCentre] {
			g.warnIfUnknown(dataCentre, regions)
		}
	}
	if preempted > 0 {
		g.Log.Info().Int("items", preempted).Msg("batch items preempted, as their data centre is evacuated")
	}
	g.logUnknownHomes(s, regions)
}

// warnIfUnknown logs a warning if an evacuated data centre is not known: its name may be
// misspelt, or its endpoints may not be listed yet.
func (g *Gateway) warnIfUnknown(dataCentre string, regions locality.Regions) {
	g.mu.Lock()
	known := regions[dataCentre] != "" || dataCentre == g.Settings.DataCentre
	for _, e := range g.endpoints {
		known = known || e.DataCentre == dataCentre
	}
	g.mu.Unlock()
	if !known {
		g.Log.Warn().Str("data_centre", dataCentre).Msg("evacuated data centre is not known; the evacuation is kept")
	}
}

// anyHomes reports whether a route or customer has homes.
func anyHomes(s *config.State) bool {
	for _, r := range s.Routes {
		if len(r.Homes) > 0 {
			return true
		}
	}
	for _, c := range s.Customers {
		if len(c.Homes) > 0 {
			return true
		}
	}
	return false
}

// logUnknownHomes logs each region among the homes of a configuration in which no data
// centre is known. Homes of which all are unknown allow nothing. The caller holds
// g.locality.mu.
func (g *Gateway) logUnknownHomes(s *config.State, regions locality.Regions) {
	known := make(map[string]bool)
	for _, region := range regions {
		known[region] = true
	}
	unknown := make(map[string]bool)
	note := func(homes locality.Homes) {
		for _, region := range homes {
			if !known[region] {
				unknown[region] = true
			}
		}
	}
	for _, r := range s.Routes {
		note(r.Homes)
	}
	for _, c := range s.Customers {
		note(c.Homes)
	}
	names := slices.Sorted(maps.Keys(unknown))
	if len(names) > 0 && !slices.Equal(names, g.locality.unknownHomes) {
		g.Log.Warn().Strs("regions", names).Int("known_regions", len(known)).
			Msg("no data centre is known in these regions, which routes or customers name as homes: nothing runs there")
	}
	g.locality.unknownHomes = names
}

// mayReceive reports whether the body of a call with the given homes may be sent to another
// entry: to one in a home, or in the region of this entry, which the caller has reached.
func mayReceive(regions locality.Regions, own string, m gossip.Member, homes []locality.Homes) bool {
	region := regions[m.DataCentre]
	return locality.Decide(region, false, homes...) == locality.Allowed || region != "" && region == regions[own]
}

// mayTakeOver reports whether an entry may take over jobs with the given homes, and with
// them the bodies of their items.
func (g *Gateway) mayTakeOver(entry string, homes []locality.Homes) bool {
	dataCentre := g.Settings.DataCentre
	if entry != g.Settings.ID {
		m, ok := g.members.Member(entry)
		if !ok {
			return false
		}
		dataCentre = m.DataCentre
	}
	return locality.Decide(g.regions()[dataCentre], false, homes...) == locality.Allowed
}

// requireDataCentre is a filter that refuses a job for whose items no data centre is left,
// unless it is one that was accepted before.
func (g *Gateway) requireDataCentre(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		v := g.jobVerdict(c)
		if v == locality.Allowed {
			return next(ctx, c)
		}
		switch accepted, err := g.jobs.Accepted(ctx, c.ID); {
		case err != nil:
			g.Log.Warn().Err(err).Str("job", c.ID).Stringer("verdict", v).Msg("no data centre is left for a job that may have been accepted")
			return AcceptanceUnknownError()
		case accepted:
			return next(ctx, c)
		}
		return locality.RefusalError(v, placement.LocalityRetryAfter)
	}
}

// jobVerdict returns whether a data centre is left for the items of a job: at one of the
// deployments of its route.
func (g *Gateway) jobVerdict(c *pipeline.Call) locality.Verdict {
	var v locality.Verdict
	for _, deployment := range c.Route.Deployments() {
		v = g.table.Verdict(placement.Request{Deployment: deployment, Homes: c.Snapshot.Homes(c.Route, c.Customer)})
		if v == locality.Allowed {
			break
		}
	}
	return v
}

// AcceptanceUnknownError returns the response to a submission of a job that may have been
// accepted.
func AcceptanceUnknownError() *api.Error {
	return api.NewError(http.StatusGatewayTimeout, api.CodeLogDown, "it is not known whether the job was accepted").WithOutcome(api.Unknown)
}

// evacuationsConfirmed reports whether the evacuations that this entry knows were confirmed
// within the evacuation bound. A process that was suspended for longer must not go on before
// it has read what was missed; while the store can't be read by this entry nor by others, it
// goes on with what it knows. It is true if no bound is set.
func (g *Gateway) evacuationsConfirmed() bool {
	bound := time.Duration(g.settings.Load().EvacuationBound)
	if bound == 0 || g.configConfirmedWithin(bound-evacuationMargin) {
		return true
	}
	return g.ConfigFeed.LostFor() >= evacuationOutage && !g.node.AnyPeerReachesLog()
}

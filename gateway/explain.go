package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/explain"
	"dandelionrelay/online"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
)

// Explain returns what this entry would decide now about a request or job. It sends nothing
// and changes nothing. It returns an error if the query can't be answered.
func (g *Gateway) Explain(q explain.Query) (*explain.Reply, *api.Error) {
	c := &pipeline.Call{Snapshot: g.Config.Current(), Customer: q.Customer}
	if q.Customer != "" {
		c.KeyID = q.Customer // the request comes with one of the customer's keys
		if _, ok := c.Snapshot.State.Customers[q.Customer]; !ok {
			return nil, badQuery("no customer %q is in version %d of the configuration", q.Customer, c.Snapshot.Version)
		}
	}
	if err := explainedRoute(c, q); err != nil {
		return nil, err
	}
	routed := c.Route.Provided != nil
	job := routed && c.Route.Provided.Batch != nil
	if q.Job && routed && !job {
		return nil, badQuery("the route %s takes no jobs", c.RouteID)
	}
	r := &explain.Reply{
		Entry:      g.Settings.ID,
		DataCentre: g.Settings.DataCentre,
		Time:       time.Now(),
		Job:        job || q.Job,
		Customer:   q.Customer,
		Evacuated:  slices.Sorted(maps.Keys(c.Snapshot.State.Evacuations)),
		Targets:    []explain.Target{},
		Knowledge:  g.knowledge(c.Snapshot.Version),
	}
	if r.Evacuated == nil {
		r.Evacuated = []string{}
	}
	now := g.Clock()
	r.Refusal = explainedRefusal(g.explainChecks(now, c, r))
	if !routed {
		return r, nil
	}
	r.Route = &explain.Route{ID: c.RouteID, Host: c.Route.Provided.Host, PathPrefix: c.Route.PathPrefix, Open: c.Route.Open}
	for _, homes := range c.Snapshot.Homes(c.Route, c.Customer) {
		r.Homes = append(r.Homes, homes)
	}
	for _, t := range explainedTargets(c.Route) {
		r.Targets = append(r.Targets, g.explainTarget(now, c, q.Version, t, job))
	}
	return r, nil
}

func badQuery(format string, args ...any) *api.Error {
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, fmt.Sprintf(format, args...))
}

// explainedRoute sets the route of c, if there is one.
func explainedRoute(c *pipeline.Call, q explain.Query) *api.Error {
	if q.Route == "" {
		c.RouteID, c.Route, _ = c.Snapshot.RouteByHost(hostName(q.Host), q.Path)
		return nil
	}
	route, ok := c.Snapshot.State.Routes[q.Route]
	if !ok || route.Provided == nil {
		return badQuery("no route %q is in version %d of the configuration", q.Route, c.Snapshot.Version)
	}
	c.RouteID, c.Route = q.Route, route
	return nil
}

// explainChecks returns the error of the first filter of the pipelines that would refuse c,
// in their order, and sets the fields of r that describe them. Quarantine, which depends on
// the body, and the search for the origin of a resumed stream are left out.
func (g *Gateway) explainChecks(now time.Duration, c *pipeline.Call, r *explain.Reply) *api.Error {
	checks := []func() *api.Error{
		func() *api.Error { return g.checkConfig(c) },
		func() *api.Error {
			if c.Route.Provided == nil {
				return g.unknownRoute()
			}
			return nil
		},
		func() *api.Error { return g.checkCustomer(c) },
		func() *api.Error { return g.checkKeyConfirmed(c) },
	}
	if r.Job {
		r.Waiting = g.itemsWaiting()
		checks = append(checks, g.checkStore)
	} else {
		rate := g.explainRate(now, c, r)
		checks = append(checks, func() *api.Error { return rate }, func() *api.Error {
			if !g.configFresh(c) {
				return online.ConfigStaleError()
			}
			return nil
		})
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// itemsWaiting says why this entry starts no batch items now; it is empty if it does.
func (g *Gateway) itemsWaiting() string {
	switch {
	case g.Leaving():
		return "this entry is leaving"
	case !g.evacuationsConfirmed():
		return "the evacuations are not confirmed"
	}
	return ""
}

// explainRate sets the rate of the customer, if it has a limit, and returns the error for a
// request that exceeds it.
func (g *Gateway) explainRate(now time.Duration, c *pipeline.Call, r *explain.Reply) *api.Error {
	d := g.limits.Peek(now, c.Customer)
	if d.Limit.Rate > 0 {
		r.Rate = &explain.Rate{
			PerSecond: d.Limit.Rate, Burst: d.Limit.Burst, Level: d.Level, Share: d.Share,
			Admitted: d.Admitted, WaitMs: explain.Millis(d.Wait),
		}
	}
	return rateError(d)
}

// explainedTargets returns the deployments to which a route leads, with their shares.
func explainedTargets(r config.Route) []explain.Target {
	shares := r.Shares()
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	targets := make([]explain.Target, 0, len(shares))
	for _, s := range shares {
		targets = append(targets, explain.Target{Deployment: s.Deployment, Share: float64(s.Weight) / float64(total)})
	}
	return targets
}

// explainTarget fills in the placement at the deployment of t.
func (g *Gateway) explainTarget(now time.Duration, c *pipeline.Call, version string, t explain.Target, job bool) explain.Target {
	req := placement.Request{
		Deployment: t.Deployment,
		Version:    version,
		MaxWait:    online.MaxWait(c.Route.Provided),
		Homes:      c.Snapshot.Homes(c.Route, c.Customer),
		AtMostOnce: !c.Route.Provided.Resumable && !c.Route.Idempotent,
	}
	kind := placement.Online
	if job {
		kind = placement.Batch
	}
	x := g.table.Explain(now, req, kind)
	t.Candidates, t.Excluded = explainedEndpoints(x.Candidates), explainedEndpoints(x.Excluded)
	switch {
	case job:
		t.Refusal = explainedRefusal(jobLocalityError(x.Locality))
	case x.Refusal != nil:
		versionGone := func() bool { return version != "" && !g.table.Serves(req) }
		t.Refusal = explainedRefusal(online.RefusalError(x.Refusal, versionGone))
	}
	return t
}

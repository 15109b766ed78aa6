package gateway

import (
	"time"

	"dandelionrelay/api"
	"dandelionrelay/explain"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
)

// knowledge returns the age of what this entry knows.
func (g *Gateway) knowledge(version uint64) explain.Knowledge {
	k := explain.Knowledge{
		ConfigVersion: version,
		Config:        feedAge(g.ConfigFeed),
		Endpoints:     feedAge(g.EndpointFeed),
		Reports:       []explain.Report{},
	}
	for _, a := range g.node.ReportAges() {
		k.Reports = append(k.Reports, explain.Report{Entry: a.Name, AgeMs: explain.Millis(a.Age), TimedOut: a.TimedOut})
	}
	return k
}

func feedAge(f Feed) explain.Feed {
	age, ok := f.Age()
	result := explain.Feed{AgeMs: explain.Millis(age), LostMs: explain.Millis(f.LostFor())}
	if !ok {
		result.AgeMs = -1
	}
	return result
}

func explainedRefusal(err *api.Error) *explain.Refusal {
	if err == nil {
		return nil
	}
	return &explain.Refusal{Status: err.Status, Code: string(err.Code), Message: err.Message, RetryAfterMs: explain.Millis(err.RetryAfter)}
}

func explainedEndpoints(list []placement.ExplainedEndpoint) []explain.Endpoint {
	result := make([]explain.Endpoint, 0, len(list))
	for _, e := range list {
		x := explain.Endpoint{
			ID: e.Endpoint.ID, DataCentre: e.Endpoint.DataCentre, Version: e.Endpoint.Version, StartMs: e.Endpoint.StartMs,
			RetryMs: explain.Millis(max(0, e.Retry)), Slots: e.Endpoint.Slots, Online: e.Load.Online, Batch: e.Load.Batch,
			WaitMs: explain.Millis(e.Wait), CostMs: explain.Millis(e.Cost), Slowness: e.Slowness,
			ColdLeftMs: explain.Millis(e.ColdLeft), Ramp: e.Ramp,
		}
		for _, r := range e.Reasons {
			x.Reasons = append(x.Reasons, string(r))
		}
		result = append(result, x)
	}
	return result
}

// logExplained logs the question of an operator and what came of it.
func (g *Gateway) logExplained(q explain.Query, r *explain.Reply, err *api.Error, took time.Duration) {
	event := g.Log.Info().Str("route", q.Route).Str("host", q.Host).Str("path", q.Path).Str("customer", q.Customer).Dur("took_ms", took)
	switch {
	case err != nil:
		event = event.Str("code", string(err.Code))
	case r.Refusal != nil:
		event = event.Str("outcome", r.Refusal.Code)
	}
	event.Msg("decision explained to an operator")
}

// jobLocalityError returns the error for a job for whose items no data centre is left, or
// nil.
func jobLocalityError(v locality.Verdict) *api.Error {
	if v == locality.Allowed {
		return nil
	}
	return locality.RefusalError(v, placement.LocalityRetryAfter)
}

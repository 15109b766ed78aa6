package entry

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/locality"
	"dandelionrelay/pipeline"
	"dandelionrelay/settings"
)

// localityPolicy provides the policy of the settings and the configuration in force.
type localityPolicy struct{ current atomic.Pointer[derivedPolicy] }

// derivedPolicy is a policy with what it was made from.
type derivedPolicy struct {
	settings *settings.Entry
	state    *config.State
	policy   *locality.Policy
}

// get returns the policy of s and state, which are immutable.
func (l *localityPolicy) get(s *settings.Entry, state *config.State) *locality.Policy {
	if d := l.current.Load(); d != nil && d.settings == s && d.state == state {
		return d.policy
	}
	policy := locality.NewPolicy(s.Regions, state.Evacuations)
	l.current.Store(&derivedPolicy{settings: s, state: state, policy: policy})
	return policy
}

// checkCall decides whether a call may run in a data centre. The homes are those that were
// in force when the call was received, the evacuations those in force now.
func (e *Entry) checkCall(c *pipeline.Call, dataCentre string) locality.Verdict {
	policy := e.locality.get(e.live.Load(), e.config.Current().State)
	return policy.Check(dataCentre, c.Route.Homes, c.Snapshot.State.Customers[c.Customer].Homes)
}

// checkItem decides whether a batch item of a customer may run in a data centre; see
// itemHomes.
func (e *Entry) checkItem(customer, deployment, route, dataCentre string) locality.Verdict {
	state := e.config.Current().State
	policy := e.locality.get(e.live.Load(), state)
	return policy.Check(dataCentre, itemHomes(state, customer, deployment, route)...)
}

// itemHomes returns the homes of a batch item: those of its customer and its route. Routes and
// customers that are no longer configured have none. If the route is not known, as in records
// of earlier releases, the homes of all routes to the deployment bind: the path does not tell
// the routes of models apart.
func itemHomes(state *config.State, customer, deployment, route string) []locality.Homes {
	homes := []locality.Homes{state.Customers[customer].Homes}
	if route != "" {
		return append(homes, state.Routes[route].Homes)
	}
	for _, r := range state.Routes {
		if deployment != "" && r.Deployment == deployment {
			homes = append(homes, r.Homes)
		}
	}
	return homes
}

// evacuationLog logs which evacuations start and end. Its calls must not overlap.
type evacuationLog struct{ known map[string]bool }

// log logs the differences between the evacuations that are known and those in force.
func (e *evacuationLog) log(logger zerolog.Logger, inForce map[string]bool) {
	for dataCentre := range inForce {
		if !e.known[dataCentre] {
			logger.Info().Str("data_centre", dataCentre).Msg("data centre evacuated: its endpoints get no new requests or items")
		}
	}
	for dataCentre := range e.known {
		if !inForce[dataCentre] {
			logger.Info().Str("data_centre", dataCentre).Msg("evacuation ended")
		}
	}
	e.known = inForce
}

// newEvacuationsGauge returns the number of evacuated data centres.
func newEvacuationsGauge(source config.Source) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "relay_config_evacuations",
		Help: "Evacuated data centres in the configuration in force.",
	}, func() float64 { return float64(len(source.Current().State.Evacuations)) })
}

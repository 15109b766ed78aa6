package dispatch

import (
	"slices"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
)

// permittedSubset returns the endpoints of s in data centres in which the call may run.
// If none of the entry's own data centre is left, those of the others take their place,
// so that the call is not left with the small sample of remote endpoints.
func (f *forwarder) permittedSubset(s membership.Subset) membership.Subset {
	local, remote := f.permitted(s.Local), f.permitted(s.Remote)
	if len(local) == 0 && len(s.Local) > 0 {
		return membership.Subset{Local: remote}
	}
	return membership.Subset{Local: local, Remote: remote}
}

// permitted returns the endpoints of list in data centres in which the call may run. It
// returns list itself if that are all.
func (f *forwarder) permitted(list []infra.Instance) []infra.Instance {
	var kept []infra.Instance // nil while all are allowed
	excluded, allowed := false, false
	for n := range list {
		// Neighbours in the list are often of the same data centre.
		if n == 0 || list[n].DataCentre != list[n-1].DataCentre {
			allowed = f.dispatcher.checkLocality(f.call, list[n].DataCentre) == locality.Allowed
		}
		if !allowed && !excluded {
			excluded, kept = true, slices.Clone(list[:n])
		}
		if allowed && excluded {
			kept = append(kept, list[n])
		}
	}
	if !excluded {
		return list
	}
	return kept
}

// localityError returns the error for a call that may run in no data centre that has
// endpoints of its deployment, or nil if it may.
func (f *forwarder) localityError() *api.Error {
	d := f.dispatcher
	last := locality.Allowed
	for _, i := range d.members.Endpoints(f.call.Route.Deployment) {
		switch v := d.checkLocality(f.call, i.DataCentre); {
		case v == locality.Allowed:
			return nil
		case last != locality.Evacuated:
			last = v
		}
	}
	if last == locality.Allowed {
		return nil
	}
	d.metrics.localityRefusals.WithLabelValues(last.String()).Inc()
	d.logger.Info().Str("request", f.call.ID).Str("route", f.call.RouteID).Str("customer", f.call.Customer).
		Str("reason", last.String()).Msg("no data centre may run the request")
	return locality.RefusalError(last, locality.RetryAfter)
}

package jobs

import (
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/locality"
)

// locations holds the data centres of the endpoints that pull from this entry or report
// to it.
type locations struct {
	mu         sync.Mutex
	byEndpoint map[string]location
	pruned     time.Time
}

type location struct {
	dataCentre string
	at         time.Time // of the last pull or report
}

// record records the data centre that an endpoint reported.
func (l *locations) record(endpoint, dataCentre string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byEndpoint == nil {
		l.byEndpoint = make(map[string]location)
	}
	l.byEndpoint[endpoint] = location{dataCentre, now}
	if now.Sub(l.pruned) < AttemptTimeout {
		return
	}
	l.pruned = now
	for id, known := range l.byEndpoint {
		if now.Sub(known.at) > 2*AttemptTimeout {
			delete(l.byEndpoint, id)
		}
	}
}

// of returns the data centre of an endpoint, or the empty string if it is not known.
func (l *locations) of(endpoint string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEndpoint[endpoint].dataCentre
}

// permits reports whether items of a customer in a backlog may run at an endpoint.
func (s *Service) permits(endpoint, customer string, key backlogKey) bool {
	return s.opts.CheckLocality(customer, key.deployment, key.route, s.locations.of(endpoint)) == locality.Allowed
}

// evacuated reports whether a data centre is evacuated. It does not name a customer, a
// deployment or a route, so that there are no homes.
func (s *Service) evacuated(dataCentre string) bool {
	return s.opts.CheckLocality("", "", "", dataCentre) == locality.Evacuated
}

// movable returns the attempts among running that may be stopped and continued at another
// endpoint: those at idempotent items. The others end where they run.
func (sc *scheduler) movable(running []api.WorkRef) []api.WorkRef {
	var out []api.WorkRef
	for _, ref := range running {
		j, it := sc.findItem(ref)
		if it == nil || j.file == nil {
			continue
		}
		if tgt, ok := j.target(ref.Item); ok && tgt.Idempotent {
			out = append(out, ref)
		}
	}
	return out
}

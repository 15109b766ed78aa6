package jobs

import (
	"maps"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/quarantine"
)

// pullerTimeout is the time after its last pull for which an endpoint counts as
// pulling.
const pullerTimeout = 30 * time.Second

// pullers records the endpoints that pull from this entry.
type pullers struct {
	mu        sync.Mutex
	lastPulls map[string]map[string]time.Time // deployment -> endpoint -> last pull
}

// record records a pull and reports whether the endpoint is an isolation
// endpoint among those that pull, that is one that may run suspects.
func (p *pullers) record(deployment, endpoint string, now time.Time) (isolation bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastPulls == nil {
		p.lastPulls = make(map[string]map[string]time.Time)
	}
	if p.lastPulls[deployment] == nil {
		p.lastPulls[deployment] = make(map[string]time.Time)
	}
	known := p.lastPulls[deployment]
	known[endpoint] = now
	maps.DeleteFunc(known, func(_ string, at time.Time) bool { return now.Sub(at) > pullerTimeout })
	return p.isIsolation(deployment, endpoint, func(string) bool { return true })
}

// isIsolation reports whether the endpoint is an isolation endpoint among those that pull
// and that keep accepts. The caller holds the lock.
func (p *pullers) isIsolation(deployment, endpoint string, keep func(id string) bool) bool {
	var all []infra.Instance
	for id := range p.lastPulls[deployment] {
		if keep(id) {
			all = append(all, infra.Instance{ID: id, State: infra.Live})
		}
	}
	return quarantine.IsIsolationEndpoint(all, endpoint)
}

// isolates reports whether an endpoint is an isolation endpoint among those at which items
// of a customer in a backlog may run. If all isolation endpoints of the deployment were
// outside the homes of a suspect, it would never run otherwise.
func (s *Service) isolates(endpoint, customer string, key backlogKey) bool {
	s.pullers.mu.Lock()
	defer s.pullers.mu.Unlock()
	return s.pullers.isIsolation(key.deployment, endpoint, func(id string) bool { return s.permits(id, customer, key) })
}

// checkQuarantine decides, from the body of an assigned item, whether the item
// may run now. A quarantined item ends; a suspect waits for an isolation
// endpoint.
func (p *partition) checkQuarantine(t *assignment, isolation bool, now time.Time) (facts []fact, ok bool) {
	d := quarantine.DigestOf(t.work.Customer, t.work.Path, t.work.Body)
	v := quarantine.Clear
	if !p.service.opts.Suspects.Empty() {
		v = p.service.opts.Suspects.Verdict(d, t.work.Customer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.checkQuarantine(now, t, d, v, isolation)
}

// checkQuarantine applies a verdict of quarantine to an assigned item. It
// returns the facts to append and whether the item may run.
func (sc *scheduler) checkQuarantine(now time.Time, t *assignment, d quarantine.Digest, v quarantine.Verdict, isolation bool) (facts []fact, ok bool) {
	j, it := sc.findItem(t.work.WorkRef)
	key := itemKey{t.work.Job, t.work.Item}
	a := sc.running[key]
	if it == nil || it.doneOffset != 0 || j.ended() || a == nil || a.ref.Attempt != t.work.Attempt {
		return nil, false
	}
	a.digest = d
	delete(sc.reportedSuspects, key)
	if v == quarantine.Suspect {
		sc.reportedSuspects[key] = true
	}
	a.suspect = sc.isSuspect(j, t.work.Item)
	t.work.Suspect = a.suspect
	switch {
	case v == quarantine.Quarantined:
		return sc.completeItem(now, j, &api.Result{WorkRef: a.ref}, itemCrashed), false
	case a.suspect && !isolation && !sc.isolates(a.endpoint, j.Customer, backlogKey{t.work.Deployment, t.route}):
		sc.releaseItem(j, t.work.Item, now.Add(RetryDelay))
		return nil, false
	}
	return nil, true
}

// notifyQuarantine reports to package quarantine how attempts ended. It is called
// before the scheduler processes the results.
func (p *partition) notifyQuarantine(endpoint string, results []api.Result) {
	for i := range results {
		r := &results[i]
		p.mu.Lock()
		digest := quarantine.Digest(r.Digest)
		a := p.scheduler.running[itemKey{r.Job, r.Item}]
		if r.Digest == (api.Digest{}) && a != nil && a.ref.Attempt == r.Attempt {
			digest = a.digest
		}
		customer := ""
		if j := p.scheduler.table.Job(r.Job); j != nil {
			customer = j.Customer
		}
		p.mu.Unlock()
		if customer != "" && digest != (quarantine.Digest{}) {
			p.notifyResult(endpoint, customer, digest, r)
		}
	}
}

// notifyResult reports to package quarantine how one attempt ended.
func (p *partition) notifyResult(endpoint, customer string, d quarantine.Digest, r *api.Result) {
	switch {
	case r.State == api.ResultUnknown && r.Crash != api.NoCrash:
		p.service.opts.Suspects.RecordCrash(quarantine.Crash{
			Digest:   d,
			Customer: customer,
			Attempt:  r.Attempt,
			Endpoint: endpoint,
			Kind:     r.Crash,
		})
	case r.State == api.ResultDone && !p.service.opts.Suspects.Empty():
		p.service.opts.Suspects.RecordSuccess(d)
	}
}

// notifyLost reports to package quarantine the attempts that were lost together
// with their endpoint.
func (p *partition) notifyLost(lost []attempt) {
	for _, a := range lost {
		if a.digest == (quarantine.Digest{}) {
			continue
		}
		p.service.opts.Suspects.RecordCrash(quarantine.Crash{
			Digest:   a.digest,
			Customer: a.customer,
			Attempt:  a.ref.Attempt,
			Endpoint: a.endpoint,
			Kind:     api.CrashLost,
		})
	}
}

package jobs

import (
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/quarantine"
)

// pullerKept is how long an endpoint that pulled is thought to go on.
const pullerKept = 30 * time.Second

// pullers knows the endpoints that pull here.
type pullers struct {
	mu   sync.Mutex
	seen map[string]map[string]time.Time // deployment -> endpoint -> last pull
}

// note records a pull and says whether the endpoint is one of those that run
// suspects.
func (p *pullers) note(deployment, endpoint string, now time.Time) (isolates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = make(map[string]map[string]time.Time)
	}
	if p.seen[deployment] == nil {
		p.seen[deployment] = make(map[string]time.Time)
	}
	known := p.seen[deployment]
	known[endpoint] = now
	var all []infra.Instance
	for id, at := range known {
		if now.Sub(at) > pullerKept {
			delete(known, id)
			continue
		}
		all = append(all, infra.Instance{ID: id, State: infra.Live})
	}
	return quarantine.IsIsolationEndpoint(all, endpoint)
}

// screen decides with the body of an item at hand whether it may be handed out
// now. An item that is quarantined ends; a suspect waits for an endpoint that
// isolates.
func (p *partition) screen(t *taken, isolates bool, now time.Time) (facts []fact, ok bool) {
	d := quarantine.DigestOf(t.work.Customer, t.work.Path, t.work.Body)
	v := quarantine.Clear
	if !p.s.o.Suspects.Empty() {
		v = p.s.o.Suspects.Verdict(d, t.work.Customer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner.screen(now, t, d, v, isolates)
}

// screen is partition.screen on the owner's state.
func (o *owner) screen(now time.Time, t *taken, d quarantine.Digest, v quarantine.Verdict, isolates bool) (facts []fact, ok bool) {
	j, it := o.find(t.work.WorkRef)
	key := itemKey{t.work.Job, t.work.Item}
	a := o.running[key]
	if it == nil || it.first != 0 || j.ended() || a == nil || a.ref.Attempt != t.work.Attempt {
		return nil, false
	}
	a.digest = d
	delete(o.confined, key)
	if v == quarantine.Suspect {
		o.confined[key] = true
	}
	a.suspect = o.isSuspect(j, t.work.Item)
	t.work.Suspect = a.suspect
	switch {
	case v == quarantine.Quarantined:
		return o.finish(now, j, &api.Result{WorkRef: a.ref}, itemCrashed), false
	case a.suspect && !isolates:
		o.release(j, t.work.Item, now.Add(RetryDelay))
		return nil, false
	}
	return nil, true
}

// learn tells the quarantine how attempts ended. It is called before the owner
// takes the results.
func (p *partition) learn(endpoint string, results []api.Result) {
	for i := range results {
		r := &results[i]
		p.mu.Lock()
		digest := quarantine.Digest(r.Digest)
		a := p.owner.running[itemKey{r.Job, r.Item}]
		if r.Digest == (api.Digest{}) && a != nil && a.ref.Attempt == r.Attempt {
			digest = a.digest
		}
		customer := ""
		if j := p.owner.table.Job(r.Job); j != nil {
			customer = j.Customer
		}
		p.mu.Unlock()
		if customer != "" && digest != (quarantine.Digest{}) {
			p.learnOne(endpoint, customer, digest, r)
		}
	}
}

func (p *partition) learnOne(endpoint, customer string, d quarantine.Digest, r *api.Result) {
	switch {
	case r.State == api.ResultUnknown && r.Crash != api.NoCrash:
		p.s.o.Suspects.RecordCrash(quarantine.Crash{
			Digest:   d,
			Customer: customer,
			Attempt:  r.Attempt,
			Endpoint: endpoint,
			Kind:     r.Crash,
		})
	case r.State == api.ResultDone && !p.s.o.Suspects.Empty():
		p.s.o.Suspects.RecordSuccess(d)
	}
}

// mourn tells the quarantine of attempts whose endpoint was not heard of for
// long.
func (p *partition) mourn(lost []attempt) {
	for _, a := range lost {
		if a.digest == (quarantine.Digest{}) {
			continue
		}
		p.s.o.Suspects.RecordCrash(quarantine.Crash{
			Digest:   a.digest,
			Customer: a.customer,
			Attempt:  a.ref.Attempt,
			Endpoint: a.endpoint,
			Kind:     api.CrashLost,
		})
	}
}

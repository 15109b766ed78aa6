package jobs

import (
	"context"
	"errors"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// beginWait bounds the time that a begin record may take.
const beginWait = 3 * time.Second

// pull hands out up to args.Slots items and waits for the first of them.
func (s *Service) pull(ctx context.Context, args api.PullArgs) []api.Work {
	deadline := time.Now().Add(args.Wait)
	for {
		changed := s.changes()
		work := s.gather(ctx, args)
		wait := time.Until(deadline)
		if len(work) > 0 || wait <= 0 {
			return work
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// gather takes items one by one, each for the customer whose turn it is.
func (s *Service) gather(ctx context.Context, args api.PullArgs) []api.Work {
	var out []api.Work
	bytes := 0
	isolates := s.pullers.note(args.Deployment, args.Endpoint, time.Now())
	screened := 0
	for len(out) < args.Slots && bytes < PullBytes {
		w, again := s.takeOne(ctx, args, isolates)
		if w == nil && again && screened < maxScreened {
			screened++
			continue
		}
		if w == nil {
			break
		}
		bytes += len(w.Body)
		out = append(out, *w)
	}
	return out
}

// maxScreened bounds how many items one pull may pass over because endpoints
// have died of them.
const maxScreened = 64

// takeOne takes one item. It returns nil if there is none, or if the one it
// chose could not be handed out after all; again says that another one may be.
func (s *Service) takeOne(ctx context.Context, args api.PullArgs, isolates bool) (w *api.Work, again bool) {
	now := time.Now()
	var all []candidate
	for _, p := range s.ownedPartitions() {
		all = append(all, p.candidates(now, args.Deployment, args.Endpoint, isolates)...)
	}
	if len(all) == 0 {
		return nil, false
	}
	c := all[s.fair.choose(all)]
	p := c.partition
	p.mu.Lock()
	t, ok := p.owner.take(now, c.job, args.Deployment, args.Endpoint, isolates)
	p.mu.Unlock()
	if !ok || !p.load(ctx, &t) {
		return nil, false
	}
	facts, ok := p.screen(&t, isolates, now)
	p.submit(facts)
	if !ok {
		return nil, true
	}
	customer := s.o.Config.Current().State.Customers[t.work.Customer]
	t.work.Weight = customer.Weight
	s.fair.charge(t.work.Customer, customer.Weight, cost(&t.work))
	if !t.work.Idempotent && !p.begun(ctx, &t) {
		return nil, false
	}
	s.metrics.handedOut.WithLabelValues(t.work.Customer).Inc()
	s.logItem(t.work.WorkRef, args.Endpoint, "item handed out")
	return &t.work, false
}

// cost estimates the work of an item: its bytes stand for its prompt.
func cost(w *api.Work) float64 {
	return 1024 + float64(len(w.Body))
}

// candidates returns what this partition offers, nothing while results pile
// up for a log that is down.
func (p *partition) candidates(now time.Time, deployment, endpoint string, isolates bool) []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.owned || !p.ready || now.Before(p.handOut) || p.writer.full() {
		return nil
	}
	p.owner.noBegins = p.blind(now) || p.writer.stuck(now)
	out := p.owner.candidates(now, deployment, endpoint, isolates)
	for i := range out {
		out[i].partition = p
	}
	return out
}

// load reads the body of an item, or gives the item back.
func (p *partition) load(ctx context.Context, t *taken) bool {
	in, err := p.s.cache.item(ctx, p.stream, t.chunk.at, t.index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.checkReadable(err, t.work.Job)
		p.giveBack(t, time.Now().Add(RetryDelay))
		return false
	}
	t.work.Body, t.work.CustomID = in.body, in.customID
	if a, ok := p.owner.running[itemKey{t.work.Job, t.work.Item}]; ok {
		a.ref.CustomID = t.work.CustomID
	}
	return true
}

// checkReadable asserts that a record of a job that is kept has not expired.
// The caller holds the lock.
func (p *partition) checkReadable(err error, jobID string) {
	var expired *infra.ExpiredError
	if !errors.As(err, &expired) {
		return
	}
	j := p.owner.table.Job(jobID)
	if j == nil || time.Now().After(j.Kept) {
		return
	}
	p.s.o.Invariants.Check(false, invariant.ResultReadable, "job %s: %v", jobID, err)
}

// giveBack ends an attempt that was not handed out. The caller holds the
// lock.
func (p *partition) giveBack(t *taken, at time.Time) {
	j, it := p.owner.find(t.work.WorkRef)
	if it == nil || it.first != 0 || j.ended() {
		return
	}
	a, ok := p.owner.running[itemKey{t.work.Job, t.work.Item}]
	if ok && a.ref.Attempt == t.work.Attempt {
		p.owner.release(j, t.work.Item, at)
	}
}

// begun records that a non-idempotent item is about to start and says whether
// this attempt is the one that may run.
func (p *partition) begun(ctx context.Context, t *taken) bool {
	begin := fact{Kind: factBegin, Job: t.work.Job, Item: t.work.Item, Attempt: t.work.Attempt, Gen: t.gen}
	p.submit([]fact{begin})
	ctx, cancel := context.WithTimeout(ctx, beginWait)
	defer cancel()
	won := false
	err := p.await(ctx, func() bool {
		j, it := p.owner.find(t.work.WorkRef)
		if it == nil || it.first != 0 || j.ended() {
			return true
		}
		b, _ := j.currentBegin(t.work.Item)
		if b == nil {
			return false
		}
		won = b.attempt == t.work.Attempt
		p.s.o.Invariants.Check(!won || b.first != 0, invariant.AtMostOnce,
			"job %s item %d handed out before its begin record", t.work.Job, t.work.Item)
		return true
	})
	if err == nil && won {
		return true
	}
	release := begin
	release.Kind = factRelease
	p.submit([]fact{release})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack(t, time.Now().Add(beginWait))
	return false
}

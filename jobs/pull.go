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
const beginTimeout = 3 * time.Second

// pull hands out up to args.Slots items and waits for the first of them.
func (s *Service) pull(ctx context.Context, args api.PullArgs) []api.Work {
	deadline := time.Now().Add(args.Wait)
	for {
		changed := s.workChanges()
		work := s.assignItems(ctx, args)
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
func (s *Service) assignItems(ctx context.Context, args api.PullArgs) []api.Work {
	var out []api.Work
	bytes := 0
	isolates := s.pullers.record(args.Deployment, args.Endpoint, time.Now())
	skipped := 0
	for len(out) < args.Slots && bytes < PullBytes {
		work, again := s.assignOne(ctx, args, isolates)
		if work == nil && again && skipped < maxQuarantineSkips {
			skipped++
			continue
		}
		if work == nil {
			break
		}
		bytes += len(work.Body)
		out = append(out, *work)
	}
	return out
}

// maxScreened bounds how many items one pull may pass over because endpoints
// have died of them.
const maxQuarantineSkips = 64

// takeOne takes one item. It returns nil if there is none, or if the one it
// chose could not be handed out after all; again says that another one may be.
func (s *Service) assignOne(ctx context.Context, args api.PullArgs, isolates bool) (w *api.Work, again bool) {
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
	t, ok := p.scheduler.assign(now, c.job, args.Deployment, args.Endpoint, isolates)
	p.mu.Unlock()
	if !ok || !p.loadBody(ctx, &t) {
		return nil, false
	}
	facts, ok := p.checkQuarantine(&t, isolates, now)
	p.submit(facts)
	if !ok {
		return nil, true
	}
	customer := s.opts.Config.Current().State.Customers[t.work.Customer]
	t.work.Weight = customer.Weight
	s.fair.charge(t.work.Customer, customer.Weight, cost(&t.work))
	if !t.work.Idempotent && !p.recordBegin(ctx, &t) {
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
	if !p.owned || !p.ready || now.Before(p.assignAfter) || p.writer.full() {
		return nil
	}
	p.scheduler.beginsBlocked = p.stale(now) || p.writer.stalled(now)
	out := p.scheduler.candidates(now, deployment, endpoint, isolates)
	for i := range out {
		out[i].partition = p
	}
	return out
}

// load reads the body of an item, or gives the item back.
func (p *partition) loadBody(ctx context.Context, t *assignment) bool {
	in, err := p.service.cache.item(ctx, p.stream, t.chunk.copyOffset, t.index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.checkReadable(err, t.work.Job)
		p.cancelAssignment(t, time.Now().Add(RetryDelay))
		return false
	}
	t.work.Body, t.work.CustomID = in.body, in.customID
	if a, ok := p.scheduler.running[itemKey{t.work.Job, t.work.Item}]; ok {
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
	j := p.scheduler.table.Job(jobID)
	if j == nil || time.Now().After(j.Kept) {
		return
	}
	p.service.opts.Invariants.Check(false, invariant.ResultReadable, "job %s: %v", jobID, err)
}

// giveBack ends an attempt that was not handed out. The caller holds the
// lock.
func (p *partition) cancelAssignment(t *assignment, at time.Time) {
	j, it := p.scheduler.findItem(t.work.WorkRef)
	if it == nil || it.doneOffset != 0 || j.ended() {
		return
	}
	a, ok := p.scheduler.running[itemKey{t.work.Job, t.work.Item}]
	if ok && a.ref.Attempt == t.work.Attempt {
		p.scheduler.releaseItem(j, t.work.Item, at)
	}
}

// begun records that a non-idempotent item is about to start and says whether
// this attempt is the one that may run.
func (p *partition) recordBegin(ctx context.Context, t *assignment) bool {
	begin := fact{Kind: factBegin, Job: t.work.Job, Item: t.work.Item, Attempt: t.work.Attempt, Gen: t.gen}
	p.submit([]fact{begin})
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	won := false
	err := p.await(ctx, func() bool {
		j, it := p.scheduler.findItem(t.work.WorkRef)
		if it == nil || it.doneOffset != 0 || j.ended() {
			return true
		}
		b, _ := j.currentBegin(t.work.Item)
		if b == nil {
			return false
		}
		won = b.attempt == t.work.Attempt
		p.service.opts.Invariants.Check(!won || b.origOffset != 0, invariant.AtMostOnce,
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
	p.cancelAssignment(t, time.Now().Add(beginTimeout))
	return false
}

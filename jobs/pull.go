package jobs

import (
	"context"
	"errors"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// beginTimeout bounds the wait for a begin record to be stored and replayed.
const beginTimeout = 3 * time.Second

// pull assigns up to args.Slots items. If there are none it waits for up to
// args.Wait until there is one.
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

// assignItems assigns items one by one, each for the customer that fair
// queueing chooses.
func (s *Service) assignItems(ctx context.Context, args api.PullArgs) []api.Work {
	var out []api.Work
	bytes := 0
	s.locations.record(args.Endpoint, args.DataCentre, time.Now())
	if s.evacuated(args.DataCentre) {
		return nil
	}
	isolation := s.pullers.record(args.Deployment, args.Endpoint, time.Now())
	skipped := 0
	for len(out) < args.Slots && bytes < PullBytes {
		work, again := s.assignOne(ctx, args, isolation)
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

// maxQuarantineSkips bounds how many items one pull may skip because they are
// quarantined, or are suspects and the endpoint is not an isolation endpoint.
const maxQuarantineSkips = 64

// assignOne assigns one item. It returns nil if there is none, or if the chosen
// one can't be assigned after all; again then reports whether another call may
// assign a different item.
func (s *Service) assignOne(ctx context.Context, args api.PullArgs, isolation bool) (w *api.Work, again bool) {
	now := time.Now()
	var all []candidate
	for _, p := range s.ownedPartitions() {
		all = append(all, p.candidates(now, args.Deployment, args.Endpoint, isolation)...)
	}
	if len(all) == 0 {
		return nil, false
	}
	c := all[s.fair.choose(all)]
	p := c.partition
	p.mu.Lock()
	t, ok := p.scheduler.assign(now, c.job, args.Deployment, args.Endpoint, isolation)
	p.mu.Unlock()
	if !ok || !p.loadBody(ctx, &t) {
		return nil, false
	}
	facts, ok := p.checkQuarantine(&t, isolation, now)
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
	s.metrics.assigned.WithLabelValues(t.work.Customer).Inc()
	s.logItem(t.work.WorkRef, args.Endpoint, "item handed out")
	return &t.work, false
}

// cost estimates the work of an item from the size of its body, which
// approximates the length of its prompt.
func cost(w *api.Work) float64 {
	return 1024 + float64(len(w.Body))
}

// candidates returns the jobs of this partition that have an item for an
// endpoint. It returns none if the partition is not owned or not replayed, if
// its takeover grace is not over, or if too many facts wait for the log.
func (p *partition) candidates(now time.Time, deployment, endpoint string, isolation bool) []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.owned || !p.ready || now.Before(p.assignAfter) || p.writer.full() {
		return nil
	}
	p.scheduler.beginsBlocked = p.stale(now) || p.writer.stalled(now)
	out := p.scheduler.candidates(now, deployment, endpoint, isolation)
	for i := range out {
		out[i].partition = p
	}
	return out
}

// loadBody reads the body of an assigned item. If that fails it cancels the
// assignment and returns false.
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

// checkReadable reports a violation of the invariant that records of a job in
// its retention are readable if err says that one has expired. The caller holds
// the lock.
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

// cancelAssignment ends an attempt that was not sent to an endpoint; its item
// may be assigned again, not before at. The caller holds the lock.
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

// recordBegin appends the begin record of a non-idempotent item and reports
// whether the assigned attempt is the one that may run. If it may not, its
// release is appended.
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
			"job %s item %d about to be sent to a sidecar before its begin record", t.work.Job, t.work.Item)
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

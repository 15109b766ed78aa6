package jobs

import (
	"context"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
)

// fillCustomIDs sets the custom IDs that completions lack and returns the facts
// that can be appended. A completion whose custom ID can't be read now is
// dropped: its attempt counts as running again, until it is reported again or
// times out.
func (p *partition) fillCustomIDs(ctx context.Context, facts []fact) []fact {
	complete := facts[:0]
	for _, f := range facts {
		if f.Kind == factDone && f.CustomID == "" {
			f.CustomID = p.customID(ctx, &f)
		}
		if f.Kind == factDone && f.CustomID == "" {
			p.clearCommitting(&f)
			continue
		}
		complete = append(complete, f)
	}
	return complete
}

// customID reads the custom ID of an item. It returns an empty one if that
// fails.
func (p *partition) customID(ctx context.Context, f *fact) string {
	p.mu.Lock()
	var c *chunk
	if j := p.scheduler.table.Job(f.Job); j != nil {
		c = j.file.chunkOf(f.Item)
	}
	if c == nil {
		p.mu.Unlock()
		return ""
	}
	offset, index := c.copyOffset, f.Item-c.firstItem
	p.mu.Unlock()
	in, err := p.service.cache.item(ctx, p.stream, offset, index)
	if err != nil {
		return ""
	}
	return in.customID
}

// clearCommitting marks the attempt at an item as running again, as its
// completion is not appended.
func (p *partition) clearCommitting(f *fact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.scheduler.running[itemKey{f.Job, f.Item}]; ok {
		a.committing = false
	}
}

// report processes the results of a sidecar. It returns once all final ones are
// durable.
func (p *partition) report(ctx context.Context, endpoint string, results []api.Result) error {
	if err := p.waitReplayed(ctx, results); err != nil {
		return err
	}
	p.notifyQuarantine(endpoint, results)
	now := time.Now()
	p.mu.Lock()
	if p.writer.full() {
		p.mu.Unlock()
		return NotDurable.New("%d bytes of results wait for the log", PendingBytes)
	}
	var facts []fact
	for i := range results {
		facts = append(facts, p.scheduler.report(now, endpoint, &results[i])...)
	}
	p.mu.Unlock()
	p.submit(p.fillCustomIDs(ctx, facts))
	p.service.notifyWork()
	return p.waitSettled(ctx, results)
}

// waitReplayed waits until the table knows the attempts of the results. If all
// that is stored is replayed and an attempt is still not known, its job has
// been removed.
func (p *partition) waitReplayed(ctx context.Context, results []api.Result) error {
	return p.checkOrCatchUp(ctx, func(*Table) bool {
		return p.ready && !slices.ContainsFunc(results, func(r api.Result) bool { return p.scheduler.notReplayed(r.WorkRef) })
	})
}

// waitSettled waits until none of the results is being appended.
func (p *partition) waitSettled(ctx context.Context, results []api.Result) error {
	return p.await(ctx, func() bool {
		for i := range results {
			if p.committing(&results[i]) {
				return false
			}
		}
		for i := range results {
			p.checkDurable(&results[i])
		}
		return true
	})
}

// committing reports whether the result of an item is being appended. The
// caller holds the lock.
func (p *partition) committing(r *api.Result) bool {
	j, it := p.scheduler.findItem(r.WorkRef)
	if it == nil || it.doneOffset != 0 || j.ended() {
		return false
	}
	a, ok := p.scheduler.running[itemKey{r.Job, r.Item}]
	return ok && a.committing
}

// checkDurable reports a violation of the invariant that acknowledged results
// are durable if a final result about to be acknowledged is not in the log. The
// caller holds the lock.
func (p *partition) checkDurable(r *api.Result) {
	j, it := p.scheduler.findItem(r.WorkRef)
	if it == nil || r.State != api.ResultDone || retryable(r.Status) {
		return
	}
	tgt, _ := j.target(r.Item)
	p.service.opts.Invariants.Check(it.doneOffset != 0 || j.ended() || !tgt.Idempotent, invariant.AcknowledgedIsDurable,
		"job %s item %d: result acknowledged but not in the log", r.Job, r.Item)
}

package jobs

import (
	"context"
	"fmt"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// carryChecks is the number of times that records are checked for age in the
// life of a record. A record is carried when it has lived half of it, which
// leaves the other half for a log outage.
const renewalChecks = 16

// carryPlan lists what must be appended again before it expires.
type renewalPlan struct {
	headers []header // jobs, files and small facts
	chunks  []infra.Offset
	results map[infra.Offset][]renewedResult // by the record that holds them
}

// carriedResult is a result to be carried.
type renewedResult struct {
	factIndex  uint32 // of its fact in the record
	origOffset infra.Offset
}

// carryPlan returns what is still needed and lies below cutoff.
func (t *Table) renewalPlan(cutoff infra.Offset, now time.Time) renewalPlan {
	plan := renewalPlan{results: make(map[infra.Offset][]renewedResult)}
	chunks := make(map[infra.Offset]bool)
	files := make(map[string]bool)
	for _, j := range t.jobs {
		if !j.committed() || now.After(j.Kept) {
			continue
		}
		if j.deletedOffset == 0 && t.attach(j) {
			files[j.File] = true
			j.addChunksToRenew(cutoff, chunks)
			j.addResultsToRenew(cutoff, &plan)
		}
		if j.oldestCopy() < cutoff {
			plan.headers = append(plan.headers, j.renewalHeader())
		}
	}
	for id, f := range t.files {
		unused := !files[id]
		if unused && now.After(f.Kept) {
			continue
		}
		if f.copyOffset < cutoff {
			record := f.fileRecord
			plan.headers = append(plan.headers, header{File: &record})
		}
		if now.After(f.Kept) {
			continue
		}
		for _, c := range f.upload.chunks {
			if c.copyOffset < cutoff {
				chunks[c.copyOffset] = true
			}
		}
	}
	for at := range chunks {
		plan.chunks = append(plan.chunks, at)
	}
	return plan
}

// carryChunks notes the chunks that hold open items.
func (j *job) addChunksToRenew(cutoff infra.Offset, chunks map[infra.Offset]bool) {
	if j.ended() {
		return
	}
	for _, c := range j.file.upload.chunks {
		if c.copyOffset >= cutoff || chunks[c.copyOffset] {
			continue
		}
		for i := c.firstItem; i < c.firstItem+c.count && i < len(j.items); i++ {
			if j.items[i].doneOffset == 0 {
				chunks[c.copyOffset] = true
				break
			}
		}
	}
}

func (j *job) addResultsToRenew(cutoff infra.Offset, plan *renewalPlan) {
	for i := range j.items {
		it := &j.items[i]
		if it.doneOffset == 0 || it.copyOffset >= cutoff {
			continue
		}
		plan.results[it.copyOffset] = append(plan.results[it.copyOffset], renewedResult{it.factIndex, it.doneOffset})
	}
}

// oldestFact returns the lowest offset of the job's small records.
func (j *job) oldestCopy() infra.Offset {
	oldest := j.copyOffset
	lower := func(o infra.Offset) {
		if o != 0 && o < oldest {
			oldest = o
		}
	}
	lower(j.endCopy)
	lower(j.deletedCopy)
	for _, at := range j.failureCopies {
		lower(at)
	}
	for _, gens := range j.begins {
		for i := range gens {
			lower(gens[i].copyOffset)
			lower(gens[i].releaseCopy)
		}
	}
	return oldest
}

// carried returns the job's record with its small facts.
func (j *job) renewalHeader() header {
	record := j.jobRecord
	h := header{Job: &record}
	if j.endOffset != 0 {
		h.Facts = append(h.Facts, fact{Kind: j.endKind, Job: j.ID, Orig: j.endOffset, Time: j.endTime})
	}
	if j.deletedOffset != 0 {
		h.Facts = append(h.Facts, fact{Kind: factDelete, Job: j.ID, Orig: j.deletedOffset})
		return h
	}
	for i := range j.failureCopies {
		it := &j.items[i]
		h.Facts = append(h.Facts, fact{
			Kind: factFailures, Job: j.ID, Item: i, Orig: record.Orig,
			Attempts: int(it.attempts), Crashes: int(it.crashes),
		})
	}
	for i, gens := range j.begins {
		for g := range gens {
			h.Facts = append(h.Facts, gens[g].renewalFacts(j.ID, i, g)...)
		}
	}
	return h
}

func (b *begin) renewalFacts(job string, item, gen int) []fact {
	if b.origOffset == 0 {
		return nil
	}
	out := []fact{{Kind: factBegin, Job: job, Item: item, Gen: gen, Orig: b.origOffset, Attempt: b.attempt}}
	for _, a := range b.releases {
		out = append(out, fact{Kind: factRelease, Job: job, Item: item, Gen: gen, Orig: b.origOffset, Attempt: a})
	}
	return out
}

// carry appends again what is still needed, before it expires, as long as
// this entry owns the partition.
func (p *partition) renew(ctx context.Context) {
	if p.service.opts.Retention == 0 {
		return
	}
	c := &renewer{partition: p, nonce: p.service.nextNonce()}
	for sleep.For(ctx, p.service.opts.Retention/renewalChecks) {
		now := time.Now()
		p.mu.Lock()
		var plan renewalPlan
		if p.owned && p.ready {
			cutoff := p.scheduler.table.storedBefore(now.Add(-p.service.opts.Retention / 2))
			plan = p.scheduler.table.renewalPlan(cutoff, now)
		}
		p.mu.Unlock()
		c.run(ctx, plan)
	}
}

// carrier appends the records of one plan after the other.
type renewer struct {
	partition *partition
	nonce     string
	appended  int
	facts     []fact // results gathered from several records
	bytes     int
}

func (c *renewer) run(ctx context.Context, plan renewalPlan) {
	for i := range plan.headers {
		c.append(ctx, encodeRecord(&plan.headers[i]))
	}
	for _, at := range plan.chunks {
		c.chunk(ctx, at)
	}
	for at, results := range plan.results {
		c.results(ctx, at, results)
	}
	c.flush(ctx)
}

// append appends one record, no faster than the writer does.
func (c *renewer) append(ctx context.Context, data []byte) {
	c.appended++
	c.partition.appendRecord(ctx, fmt.Sprintf("%s-c%d", c.nonce, c.appended), data)
	sleep.For(ctx, CommitInterval)
}

// read returns the record at an offset, waiting while the log is down. It
// returns nil if the record is gone.
func (c *renewer) read(ctx context.Context, at infra.Offset) (*storedRecord, time.Time) {
	for ctx.Err() == nil {
		records, err := c.partition.service.opts.Log.Read(ctx, c.partition.stream, at, 1, 0)
		if isUnavailable(err) {
			sleep.For(ctx, logRetryDelay)
			continue
		}
		if err != nil || len(records) == 0 || records[0].Offset != at {
			return nil, time.Time{}
		}
		s, err := newStored(records[0].Data)
		if err != nil {
			return nil, time.Time{}
		}
		return s, records[0].Time
	}
	return nil, time.Time{}
}

func (c *renewer) chunk(ctx context.Context, at infra.Offset) {
	s, _ := c.read(ctx, at)
	if s == nil || s.header.Chunk == nil {
		return
	}
	c.append(ctx, encodeRecord(&header{Chunk: s.header.Chunk}, s.bodies))
}

// results gathers results of one record and appends them when they fill one.
func (c *renewer) results(ctx context.Context, at infra.Offset, results []renewedResult) {
	s, stored := c.read(ctx, at)
	if s == nil {
		return
	}
	for _, r := range results {
		body, err := s.body(int(r.factIndex))
		if err != nil {
			continue
		}
		f := s.header.Facts[r.factIndex]
		f.body = body
		if f.Orig == 0 {
			f.Orig, f.Time = at, stored
		}
		if c.bytes+len(body) > GroupBytes || len(c.facts) >= maxGroupFacts {
			c.flush(ctx)
		}
		c.facts = append(c.facts, f)
		c.bytes += len(body)
	}
}

func (c *renewer) flush(ctx context.Context) {
	if len(c.facts) == 0 {
		return
	}
	c.append(ctx, encodeFacts(c.facts))
	c.facts, c.bytes = nil, 0
}

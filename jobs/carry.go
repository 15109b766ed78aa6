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
const carryChecks = 16

// carryPlan lists what must be appended again before it expires.
type carryPlan struct {
	metas   []header // jobs, files and small facts
	chunks  []infra.Offset
	results map[infra.Offset][]carriedResult // by the record that holds them
}

// carriedResult is a result to be carried.
type carriedResult struct {
	index uint32 // of its fact in the record
	first infra.Offset
}

// carryPlan returns what is still needed and lies below cutoff.
func (t *Table) carryPlan(cutoff infra.Offset, now time.Time) carryPlan {
	plan := carryPlan{results: make(map[infra.Offset][]carriedResult)}
	chunks := make(map[infra.Offset]bool)
	files := make(map[string]bool)
	for _, j := range t.jobs {
		if !j.committed() || now.After(j.Kept) {
			continue
		}
		if j.deleted == 0 && t.attach(j) {
			files[j.File] = true
			j.carryChunks(cutoff, chunks)
			j.carryResults(cutoff, &plan)
		}
		if j.oldestFact() < cutoff {
			plan.metas = append(plan.metas, j.carried())
		}
	}
	for id, f := range t.files {
		unused := !files[id]
		if unused && now.After(f.Kept) {
			continue
		}
		if f.at < cutoff {
			record := f.fileRecord
			plan.metas = append(plan.metas, header{File: &record})
		}
		if now.After(f.Kept) {
			continue
		}
		for _, c := range f.upload.chunks {
			if c.at < cutoff {
				chunks[c.at] = true
			}
		}
	}
	for at := range chunks {
		plan.chunks = append(plan.chunks, at)
	}
	return plan
}

// carryChunks notes the chunks that hold open items.
func (j *job) carryChunks(cutoff infra.Offset, chunks map[infra.Offset]bool) {
	if j.ended() {
		return
	}
	for _, c := range j.file.upload.chunks {
		if c.at >= cutoff || chunks[c.at] {
			continue
		}
		for i := c.first; i < c.first+c.count && i < len(j.items); i++ {
			if j.items[i].first == 0 {
				chunks[c.at] = true
				break
			}
		}
	}
}

func (j *job) carryResults(cutoff infra.Offset, plan *carryPlan) {
	for i := range j.items {
		it := &j.items[i]
		if it.first == 0 || it.at >= cutoff {
			continue
		}
		plan.results[it.at] = append(plan.results[it.at], carriedResult{it.index, it.first})
	}
}

// oldestFact returns the lowest offset of the job's small records.
func (j *job) oldestFact() infra.Offset {
	oldest := j.at
	lower := func(o infra.Offset) {
		if o != 0 && o < oldest {
			oldest = o
		}
	}
	lower(j.endAt)
	lower(j.delAt)
	for _, at := range j.noted {
		lower(at)
	}
	for _, gens := range j.begins {
		for i := range gens {
			lower(gens[i].at)
			lower(gens[i].relAt)
		}
	}
	return oldest
}

// carried returns the job's record with its small facts.
func (j *job) carried() header {
	record := j.jobRecord
	h := header{Job: &record}
	if j.end != 0 {
		h.Facts = append(h.Facts, fact{Kind: j.endKind, Job: j.ID, Orig: j.end, Time: j.endTime})
	}
	if j.deleted != 0 {
		h.Facts = append(h.Facts, fact{Kind: factDelete, Job: j.ID, Orig: j.deleted})
		return h
	}
	for i := range j.noted {
		it := &j.items[i]
		h.Facts = append(h.Facts, fact{
			Kind: factSetback, Job: j.ID, Item: i, Orig: record.Orig,
			Attempts: int(it.attempts), Deaths: int(it.deaths),
		})
	}
	for i, gens := range j.begins {
		for g := range gens {
			h.Facts = append(h.Facts, gens[g].carried(j.ID, i, g)...)
		}
	}
	return h
}

func (b *begin) carried(job string, item, gen int) []fact {
	if b.first == 0 {
		return nil
	}
	out := []fact{{Kind: factBegin, Job: job, Item: item, Gen: gen, Orig: b.first, Attempt: b.attempt}}
	for _, a := range b.releases {
		out = append(out, fact{Kind: factRelease, Job: job, Item: item, Gen: gen, Orig: b.first, Attempt: a})
	}
	return out
}

// carry appends again what is still needed, before it expires, as long as
// this entry owns the partition.
func (p *partition) carry(ctx context.Context) {
	if p.s.o.Retention == 0 {
		return
	}
	c := &carrier{p: p, nonce: p.s.nextNonce()}
	for sleep.For(ctx, p.s.o.Retention/carryChecks) {
		now := time.Now()
		p.mu.Lock()
		var plan carryPlan
		if p.owned && p.ready {
			cutoff := p.owner.table.storedBefore(now.Add(-p.s.o.Retention / 2))
			plan = p.owner.table.carryPlan(cutoff, now)
		}
		p.mu.Unlock()
		c.run(ctx, plan)
	}
}

// carrier appends the records of one plan after the other.
type carrier struct {
	p     *partition
	nonce string
	count int
	facts []fact // results gathered from several records
	bytes int
}

func (c *carrier) run(ctx context.Context, plan carryPlan) {
	for i := range plan.metas {
		c.append(ctx, encodeRecord(&plan.metas[i]))
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
func (c *carrier) append(ctx context.Context, data []byte) {
	c.count++
	c.p.appendRecord(ctx, fmt.Sprintf("%s-c%d", c.nonce, c.count), data)
	sleep.For(ctx, CommitInterval)
}

// read returns the record at an offset, waiting while the log is down. It
// returns nil if the record is gone.
func (c *carrier) read(ctx context.Context, at infra.Offset) (*stored, time.Time) {
	for ctx.Err() == nil {
		records, err := c.p.s.o.Log.Read(ctx, c.p.stream, at, 1, 0)
		if isUnavailable(err) {
			sleep.For(ctx, retryPause)
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

func (c *carrier) chunk(ctx context.Context, at infra.Offset) {
	s, _ := c.read(ctx, at)
	if s == nil || s.header.Chunk == nil {
		return
	}
	c.append(ctx, encodeRecord(&header{Chunk: s.header.Chunk}, s.blob))
}

// results gathers results of one record and appends them when they fill one.
func (c *carrier) results(ctx context.Context, at infra.Offset, results []carriedResult) {
	s, stored := c.read(ctx, at)
	if s == nil {
		return
	}
	for _, r := range results {
		body, err := s.body(int(r.index))
		if err != nil {
			continue
		}
		f := s.header.Facts[r.index]
		f.body = body
		if f.Orig == 0 {
			f.Orig, f.Time = at, stored
		}
		if c.bytes+len(body) > GroupBytes || len(c.facts) >= maxGroup {
			c.flush(ctx)
		}
		c.facts = append(c.facts, f)
		c.bytes += len(body)
	}
}

func (c *carrier) flush(ctx context.Context) {
	if len(c.facts) == 0 {
		return
	}
	c.append(ctx, encodeFacts(c.facts))
	c.facts, c.bytes = nil, 0
}

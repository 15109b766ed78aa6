package jobs

import (
	"context"
	"fmt"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// renewalChecks is the number of times in one retention of the log that records
// are checked for their age. A record is renewed when it is older than half of
// the retention, which leaves the other half for an outage of the log.
const renewalChecks = 16

// renewalPlan lists what must be appended again before it expires.
type renewalPlan struct {
	headers []header // of jobs, files and facts without a body
	chunks  []infra.Offset
	results map[infra.Offset][]renewedResult // by the offset of the record that holds them
}

// renewedResult is a result to be renewed.
type renewedResult struct {
	factIndex  uint32 // in the facts of the record
	origOffset infra.Offset
}

// renewalPlan returns the records below cutoff that are still needed.
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
	for offset := range chunks {
		plan.chunks = append(plan.chunks, offset)
	}
	return plan
}

// addChunksToRenew adds the chunks below cutoff that hold items without a
// result.
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

// addResultsToRenew adds the results in records below cutoff.
func (j *job) addResultsToRenew(cutoff infra.Offset, plan *renewalPlan) {
	for i := range j.items {
		it := &j.items[i]
		if it.doneOffset == 0 || it.copyOffset >= cutoff {
			continue
		}
		plan.results[it.copyOffset] = append(plan.results[it.copyOffset], renewedResult{it.factIndex, it.doneOffset})
	}
}

// oldestCopy returns the lowest offset among the latest copies of the job
// record and of the job's facts without a body.
func (j *job) oldestCopy() infra.Offset {
	oldest := j.copyOffset
	lower := func(o infra.Offset) {
		if o != 0 && o < oldest {
			oldest = o
		}
	}
	lower(j.endCopy)
	lower(j.deletedCopy)
	for _, offset := range j.failureCopies {
		lower(offset)
	}
	for _, gens := range j.begins {
		for i := range gens {
			lower(gens[i].copyOffset)
			lower(gens[i].releaseCopy)
		}
	}
	return oldest
}

// renewalHeader returns the job record with the job's facts without a body.
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
			FailedAttempts: int(it.failedAttempts), Crashes: int(it.crashes),
		})
	}
	for i, gens := range j.begins {
		for g := range gens {
			h.Facts = append(h.Facts, gens[g].renewalFacts(j.ID, i, g)...)
		}
	}
	return h
}

// renewalFacts returns the begin and its releases as facts.
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

// renew appends again what is still needed, before it expires, while this entry
// owns the partition.
func (p *partition) renew(ctx context.Context) {
	if p.service.opts.Retention == 0 {
		return
	}
	rn := &renewer{partition: p, nonce: p.service.nextNonce()}
	for sleep.For(ctx, p.service.opts.Retention/renewalChecks) {
		now := time.Now()
		p.mu.Lock()
		var plan renewalPlan
		if p.owned && p.ready {
			cutoff := p.scheduler.table.storedBefore(now.Add(-p.service.opts.Retention / 2))
			plan = p.scheduler.table.renewalPlan(cutoff, now)
		}
		p.mu.Unlock()
		rn.run(ctx, plan)
	}
}

// renewer executes renewal plans, one after the other.
type renewer struct {
	partition *partition
	nonce     string
	appended  int
	facts     []fact // results of several records, to be appended as one
	bytes     int
}

func (rn *renewer) run(ctx context.Context, plan renewalPlan) {
	for i := range plan.headers {
		rn.append(ctx, encodeRecord(&plan.headers[i]))
	}
	for _, offset := range plan.chunks {
		rn.renewChunk(ctx, offset)
	}
	for offset, results := range plan.results {
		rn.collectResults(ctx, offset, results)
	}
	rn.flush(ctx)
}

// append appends one record and waits for CommitInterval, so that renewal
// appends no faster than the group writer.
func (rn *renewer) append(ctx context.Context, data []byte) {
	rn.appended++
	rn.partition.appendRecord(ctx, fmt.Sprintf("%s-c%d", rn.nonce, rn.appended), data)
	sleep.For(ctx, CommitInterval)
}

// read returns the record at an offset and the time at which it was stored. It
// retries while the log is unavailable, and returns nil if the record has
// expired or can't be decoded.
func (rn *renewer) read(ctx context.Context, offset infra.Offset) (*storedRecord, time.Time) {
	for ctx.Err() == nil {
		records, err := rn.partition.service.opts.Log.Read(ctx, rn.partition.stream, offset, 1, 0)
		if isUnavailable(err) {
			sleep.For(ctx, logRetryDelay)
			continue
		}
		if err != nil || len(records) == 0 || records[0].Offset != offset {
			return nil, time.Time{}
		}
		s, err := newStoredRecord(records[0].Data)
		if err != nil {
			return nil, time.Time{}
		}
		return s, records[0].Time
	}
	return nil, time.Time{}
}

// renewChunk renews the chunk record at an offset.
func (rn *renewer) renewChunk(ctx context.Context, offset infra.Offset) {
	s, _ := rn.read(ctx, offset)
	if s == nil || s.header.Chunk == nil {
		return
	}
	rn.append(ctx, encodeRecord(&header{Chunk: s.header.Chunk}, s.bodies))
}

// collectResults collects results of the record at an offset, and appends the
// collected ones whenever they fill a record.
func (rn *renewer) collectResults(ctx context.Context, offset infra.Offset, results []renewedResult) {
	s, stored := rn.read(ctx, offset)
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
			f.Orig, f.Time = offset, stored
		}
		if rn.bytes+len(body) > GroupBytes || len(rn.facts) >= maxGroupFacts {
			rn.flush(ctx)
		}
		rn.facts = append(rn.facts, f)
		rn.bytes += len(body)
	}
}

// flush appends the collected results.
func (rn *renewer) flush(ctx context.Context) {
	if len(rn.facts) == 0 {
		return
	}
	rn.append(ctx, encodeFacts(rn.facts))
	rn.facts, rn.bytes = nil, 0
}

package jobs

import (
	"slices"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// maxGenerations is the highest generation number of a non-idempotent item, which
// bounds how often the item can be sent to a sidecar. Facts with a higher one are
// ignored.
const maxGenerations = 1000

// applyFact merges the fact at an index of record r.
func (t *Table) applyFact(r infra.Record, index int, f *fact) {
	if f.Item < 0 || f.Item >= MaxItems || f.Gen < 0 || f.Gen > maxGenerations {
		return
	}
	if f.Orig == 0 {
		f.Orig = r.Offset
		f.Time = r.Time
	}
	j := t.job(f.Job, r)
	if j.file != nil && f.Item >= len(j.items) {
		return
	}
	switch f.Kind {
	case factDone:
		t.applyDone(r, index, j, f)
	case factBegin:
		applyBegin(r, j, f)
	case factRelease:
		applyRelease(r, j, f)
	case factFailures:
		applyFailures(r, j, f)
	case factCancel, factExpire:
		t.applyEnd(r, j, f)
	case factDelete:
		if j.deletedOffset == 0 || f.Orig < j.deletedOffset {
			j.deletedOffset = f.Orig
		}
		j.deletedCopy = r.Offset
	}
}

// applyDone merges a completion. The one with the lowest offset is the item's
// result, unless the job ended before it.
func (t *Table) applyDone(r infra.Record, index int, j *job, f *fact) {
	if j.endOffset != 0 && f.Orig >= j.endOffset {
		return
	}
	j.grow(f.Item)
	it := &j.items[f.Item]
	if it.doneOffset == f.Orig && r.Offset > it.copyOffset {
		it.copyOffset, it.factIndex = r.Offset, uint32(index)
	}
	if it.doneOffset != 0 && it.doneOffset <= f.Orig {
		return
	}
	t.inv.Check(it.doneOffset == 0 || !t.replayed, invariant.ItemCompletesOnce,
		"job %s item %d: result of offset %d replaced by that of %d", j.ID, f.Item, it.doneOffset, f.Orig)
	failed := f.Code != itemDone || f.Status >= 400
	if it.doneOffset != 0 {
		j.uncount(it)
	} else {
		t.onCompleted(j, failed)
	}
	it.doneOffset, it.copyOffset, it.factIndex = f.Orig, r.Offset, uint32(index)
	it.failed = failed
	j.count(it)
	if f.Time.After(j.lastCompletion) {
		j.lastCompletion = f.Time
	}
}

func (j *job) count(it *item) {
	j.done++
	if it.failed {
		j.failed++
	}
}

func (j *job) uncount(it *item) {
	j.done--
	if it.failed {
		j.failed--
	}
}

// applyEnd merges a cancel or an expiry. The one with the lowest offset ends the
// job, and completions with a higher offset do not count.
func (t *Table) applyEnd(r infra.Record, j *job, f *fact) {
	if j.endOffset == f.Orig {
		j.endCopy = r.Offset
	}
	if j.endOffset != 0 && j.endOffset <= f.Orig {
		return
	}
	j.endOffset, j.endKind, j.endTime, j.endCopy = f.Orig, f.Kind, f.Time, r.Offset
	for i := range j.items {
		it := &j.items[i]
		if it.doneOffset <= j.endOffset {
			continue
		}
		t.inv.Check(!t.replayed, invariant.CancelStops,
			"job %s item %d: completed at %d after the end at %d", j.ID, i, it.doneOffset, j.endOffset)
		j.uncount(it)
		it.doneOffset, it.copyOffset = 0, 0
	}
}

func applyBegin(r infra.Record, j *job, f *fact) {
	b := j.generation(f.Item, f.Gen)
	if b.origOffset == f.Orig {
		b.copyOffset = r.Offset
	}
	if b.origOffset != 0 && b.origOffset <= f.Orig {
		return
	}
	b.origOffset, b.copyOffset, b.attempt = f.Orig, r.Offset, f.Attempt
}

func applyRelease(r infra.Record, j *job, f *fact) {
	b := j.generation(f.Item, f.Gen)
	b.releaseCopy = r.Offset
	if !slices.Contains(b.releases, f.Attempt) {
		b.releases = append(b.releases, f.Attempt)
	}
}

func applyFailures(r infra.Record, j *job, f *fact) {
	j.grow(f.Item)
	it := &j.items[f.Item]
	it.failedAttempts = max(it.failedAttempts, uint8(min(f.FailedAttempts, 255)))
	it.crashes = max(it.crashes, uint8(min(f.Crashes, 255)))
	if j.failureCopies == nil {
		j.failureCopies = make(map[int]infra.Offset)
	}
	j.failureCopies[f.Item] = r.Offset
}

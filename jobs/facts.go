package jobs

import (
	"slices"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// maxGenerations bounds how often a non-idempotent item is handed out.
const maxGenerations = 1000

// applyFact merges the fact at index of record r.
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
	case factSetback:
		applySetback(r, j, f)
	case factCancel, factExpire:
		t.applyEnd(r, j, f)
	case factDelete:
		if j.deleted == 0 || f.Orig < j.deleted {
			j.deleted = f.Orig
		}
		j.delAt = r.Offset
	}
}

// applyDone merges a completion: the one with the lowest offset is the
// item's result, unless the job ended before it.
func (t *Table) applyDone(r infra.Record, index int, j *job, f *fact) {
	if j.end != 0 && f.Orig >= j.end {
		return
	}
	j.grow(f.Item)
	it := &j.items[f.Item]
	if it.first == f.Orig && r.Offset > it.at {
		it.at, it.index = r.Offset, uint32(index)
	}
	if it.first != 0 && it.first <= f.Orig {
		return
	}
	t.inv.Check(it.first == 0 || !t.visible, invariant.ItemCompletesOnce,
		"job %s item %d: result of offset %d replaced by that of %d", j.ID, f.Item, it.first, f.Orig)
	failed := f.Code != itemDone || f.Status >= 400
	if it.first != 0 {
		j.uncount(it)
	} else {
		t.completed(j, failed)
	}
	it.first, it.at, it.index = f.Orig, r.Offset, uint32(index)
	it.failed = failed
	j.count(it)
	if f.Time.After(j.last) {
		j.last = f.Time
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

// applyEnd merges a cancel or an expiry; completions after it do not count.
func (t *Table) applyEnd(r infra.Record, j *job, f *fact) {
	if j.end == f.Orig {
		j.endAt = r.Offset
	}
	if j.end != 0 && j.end <= f.Orig {
		return
	}
	j.end, j.endKind, j.endTime, j.endAt = f.Orig, f.Kind, f.Time, r.Offset
	for i := range j.items {
		it := &j.items[i]
		if it.first <= j.end {
			continue
		}
		t.inv.Check(!t.visible, invariant.CancelStops,
			"job %s item %d: completed at %d after the end at %d", j.ID, i, it.first, j.end)
		j.uncount(it)
		it.first, it.at = 0, 0
	}
}

func applyBegin(r infra.Record, j *job, f *fact) {
	b := j.generation(f.Item, f.Gen)
	if b.first == f.Orig {
		b.at = r.Offset
	}
	if b.first != 0 && b.first <= f.Orig {
		return
	}
	b.first, b.at, b.attempt = f.Orig, r.Offset, f.Attempt
}

func applyRelease(r infra.Record, j *job, f *fact) {
	b := j.generation(f.Item, f.Gen)
	b.relAt = r.Offset
	if !slices.Contains(b.releases, f.Attempt) {
		b.releases = append(b.releases, f.Attempt)
	}
}

func applySetback(r infra.Record, j *job, f *fact) {
	j.grow(f.Item)
	it := &j.items[f.Item]
	it.attempts = max(it.attempts, uint8(min(f.Attempts, 255)))
	it.deaths = max(it.deaths, uint8(min(f.Deaths, 255)))
	if j.noted == nil {
		j.noted = make(map[int]infra.Offset)
	}
	j.noted[f.Item] = r.Offset
}

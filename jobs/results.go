package jobs

import (
	"context"

	"dandelionrelay/invariant"
)

// maxPageBytes and maxPageItems bound one page of results.
const (
	maxPageBytes = 1 << 20
	maxPageItems = 2_000
)

// resultRef identifies the result of an item, with a copy of the item's state
// taken when the page was listed.
type resultRef struct {
	item  int
	state item
}

// localPage returns results in the order of the items. If the job has not ended
// in the table, it first replays all that was stored before the call: another
// entry may have reported the job as complete to the caller.
func (s *Service) localPage(ctx context.Context, args PageArgs) (Page, error) {
	var page Page
	n, ok := partitionOf(jobPrefix, args.Job)
	if !ok {
		return page, nil
	}
	p, err := s.readyPartition(ctx, n)
	if err != nil {
		return page, err
	}
	ended := func(t *Table) bool {
		j := t.Job(args.Job)
		return j != nil && j.ended()
	}
	if err := p.checkOrCatchUp(ctx, ended); err != nil {
		return page, err
	}
	refs, more := p.resultRefs(args)
	bytes := 0
	for i, ref := range refs {
		if bytes > maxPageBytes {
			page.Next = ref.item
			return page, nil
		}
		r, err := p.readResult(ctx, args.Job, ref)
		if err != nil {
			return Page{}, err
		}
		bytes += len(r.Body)
		page.Results = append(page.Results, r)
		if i == len(refs)-1 && more {
			page.Next = ref.item + 1
		}
	}
	return page, nil
}

// resultRefs returns up to maxPageItems results of a job, from args.From on,
// and whether there are more.
func (p *partition) resultRefs(args PageArgs) ([]resultRef, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.scheduler.table.Job(args.Job)
	if j == nil || args.Customer != "" && j.Customer != args.Customer {
		return nil, false
	}
	var refs []resultRef
	for i := max(args.From, 0); i < len(j.items); i++ {
		if j.items[i].doneOffset == 0 {
			continue
		}
		p.service.opts.Invariants.Check(j.endOffset == 0 || j.items[i].doneOffset < j.endOffset, invariant.CancelStops,
			"job %s item %d: result of offset %d returned after the end at %d", j.ID, i, j.items[i].doneOffset, j.endOffset)
		if len(refs) == maxPageItems {
			return refs, true
		}
		refs = append(refs, resultRef{i, j.items[i]})
	}
	return refs, false
}

// readResult reads one result from the log. If that fails and the result was
// renewed meanwhile, it reads the newer copy.
func (p *partition) readResult(ctx context.Context, job string, ref resultRef) (ItemResult, error) {
	record, err := p.service.cache.get(ctx, p.stream, ref.state.copyOffset)
	if err != nil {
		p.mu.Lock()
		j := p.scheduler.table.Job(job)
		moved := j != nil && j.items[ref.item].copyOffset != ref.state.copyOffset
		if moved {
			ref.state = j.items[ref.item]
		} else {
			p.checkReadable(err, job)
		}
		p.mu.Unlock()
		if !moved {
			return ItemResult{}, err
		}
		record, err = p.service.cache.get(ctx, p.stream, ref.state.copyOffset)
	}
	if err != nil {
		return ItemResult{}, err
	}
	body, err := record.body(int(ref.state.factIndex))
	if err != nil {
		return ItemResult{}, err
	}
	f := record.header.Facts[ref.state.factIndex]
	return ItemResult{
		Item:     ref.item,
		CustomID: f.CustomID,
		Attempt:  f.Attempt,
		Code:     string(f.Code),
		Status:   f.Status,
		Body:     body,
	}, nil
}

package batch

import (
	"context"
	"encoding/json"
	"time"

	"dandelionrelay/keyedlog"
)

// ItemResult is the result of one item with its output.
type ItemResult struct {
	Item   string
	State  ItemState
	Output []byte
}

// Page is a range of a job's results.
type Page struct {
	Total   int // number of items of the job
	Results []ItemResult
}

// Results returns the results at position after and later ones, as many as fit in
// maxBytes of output but at least one if there is any. It waits up to wait for the
// first. It fails with NotFound or Unreachable.
func (s *Service) Results(ctx context.Context, customer, id string, after int, wait time.Duration, maxBytes int) (Page, error) {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return Page{}, err
	}
	v = s.awaitResult(ctx, v, after, wait)
	if after >= len(v.results) {
		if v, err = s.confirm(ctx, v); err != nil {
			return Page{}, err
		}
	}
	page := Page{Total: len(v.Items)}
	if after >= len(v.results) {
		return page, nil
	}
	size := 0
	for _, r := range v.results[after:] {
		output, err := s.readOutput(ctx, r)
		if err != nil && len(page.Results) == 0 {
			return Page{}, Unreachable.Wrap(err, "failed to read a stored output")
		}
		size += len(output)
		if err != nil || len(page.Results) > 0 && size > maxBytes {
			break
		}
		page.Results = append(page.Results, ItemResult{Item: v.Items[r.Item].ID, State: r.State, Output: output})
	}
	return page, nil
}

// maxUnconfirmedAge is the age of the replayed index up to which Results reports
// that there are no further results without refreshing the index. It is half of the
// time after which a result that was read at one entry must be known at all entries.
const maxUnconfirmedAge = 500 * time.Millisecond

// confirm returns v if the replayed index is younger than maxUnconfirmedAge.
// Otherwise it refreshes the index once, by one page, and returns the view after
// that; results beyond that page may still be unknown here. It fails with
// Unreachable if the refresh fails.
func (s *Service) confirm(ctx context.Context, v view) (view, error) {
	if age, ok := s.Index.follower.Age(); ok && age < maxUnconfirmedAge {
		return v, nil
	}
	if err := s.refresh(ctx); err != nil {
		return v, Unreachable.Wrap(err, "failed to confirm that the index is up to date")
	}
	if newer, ok := s.Index.state.view(v.ID); ok {
		v = newer
	}
	return v, nil
}

// awaitResult waits up to wait for a result at position after and returns the
// latest view. It returns early if the job gets no further results or ctx ends.
func (s *Service) awaitResult(ctx context.Context, v view, after int, wait time.Duration) view {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for after >= len(v.results) && len(v.listed) < len(v.Items) && !v.cancelled {
		select {
		case <-v.changed:
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
		newer, ok := s.Index.state.view(v.ID)
		if !ok {
			return v
		}
		v = newer
	}
	return v
}

// readOutput returns the output of a result, nil if it has none.
func (s *Service) readOutput(ctx context.Context, r Result) ([]byte, error) {
	if r.Output.Size == 0 {
		return nil, nil
	}
	return s.contents.get(ctx, r.Output)
}

// ItemBody returns the request body of an item. It fails with NotFound or
// Unreachable.
func (s *Service) ItemBody(ctx context.Context, customer, id, item string) ([]byte, error) {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	for _, it := range v.Items {
		if it.ID != item {
			continue
		}
		r, err := s.contents.request(ctx, it.Ref)
		if err != nil {
			return nil, Unreachable.Wrap(err, "failed to read a stored request body")
		}
		return r.Body, nil
	}
	return nil, NotFound.New("no item %s in job %s", item, id)
}

// Cancel cancels a job: its items without a result get none. It returns nil also
// for a job that was cancelled before. It fails with NotFound, or with
// Unreachable, also if the cancellation may have taken or may still take effect.
func (s *Service) Cancel(ctx context.Context, customer, id string) error {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return err
	}
	if v.cancelled {
		return nil
	}
	err = s.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) {
		if j := state.jobs[id]; j == nil || j.cancelled {
			return nil, nil
		}
		record, err := encode(key(kindCancel, id), json.RawMessage("{}"))
		return []keyedlog.Record{record}, err
	})
	if err != nil {
		return Unreachable.Wrap(err, "failed to append the cancellation to the index")
	}
	return nil
}

// Bytes returns the size of all outputs of the page, in bytes.
func (p Page) Bytes() int {
	size := 0
	for _, r := range p.Results {
		size += len(r.Output)
	}
	return size
}

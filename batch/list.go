package batch

import (
	"context"
	"time"

	"dandelionrelay/keyedlog"
	"dandelionrelay/membership"
	"dandelionrelay/sleep"
)

// list stores and lists the results of ended items.
func (r *runner) list(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.done:
		}
		if !sleep.For(ctx, listPause) {
			return
		}
		if !r.listEnded(ctx) {
			// The store is away: results are kept until it is back.
			sleep.For(ctx, refusedPause)
			poke(r.done)
		}
	}
}

// listing is one result on its way to the index.
type listing struct {
	id     itemID
	result Result
	output []byte
}

// listEnded lists all items that have ended; it returns false if some are left.
func (r *runner) listEnded(ctx context.Context) bool {
	ready := r.takeEnded()
	if len(ready) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*contentTimeout)
	defer cancel()
	if err := r.storeOutputs(ctx, ready); err != nil {
		r.Log.Warn().Err(err).Int("items", len(ready)).Msg("outputs not stored yet")
		return false
	}
	err := r.Index.change(ctx, func(l *IndexState) ([]keyedlog.Record, error) { return r.records(l, ready) })
	if err != nil {
		r.Log.Warn().Err(err).Int("items", len(ready)).Msg("results not listed yet")
		return false
	}
	for _, e := range ready {
		r.Metrics.listed.WithLabelValues(string(e.result.State)).Inc()
		r.Log.Info().Str("job", e.id.job).Int("item", e.id.item).Str("state", string(e.result.State)).
			Int("bytes", len(e.output)).Msg("result listed")
	}
	return true
}

// maxOutputKey bounds the key of an output, in bytes.
const maxOutputKey = 255

// takeEnded returns the items whose results are to be listed.
func (r *runner) takeEnded() []listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []listing
	for id, p := range r.items {
		if p.phase != ended {
			continue
		}
		if len(p.output)+recordOverhead+maxOutputKey > r.RecordBytes {
			r.Log.Error().Str("job", id.job).Int("item", id.item).Int("bytes", len(p.output)).Msg("output is larger than a record, item given up")
			p.result, p.output = Result{State: Errored, Reason: "its output is too large"}, nil
		}
		ready = append(ready, listing{id: id, result: p.result, output: p.output})
	}
	return ready
}

// storeOutputs stores the outputs of completed items, by partition.
func (r *runner) storeOutputs(ctx context.Context, ready []listing) error {
	byPart := make(map[int][]int)
	for i, e := range ready {
		if e.result.State == Completed && len(e.output) > 0 {
			part := r.contents.part(e.id.job)
			byPart[part] = append(byPart[part], i)
		}
	}
	for part, indexes := range byPart {
		records := make([]keyedlog.Record, len(indexes))
		for n, i := range indexes {
			r.stored++
			records[n] = keyedlog.Record{Key: outputKey(ready[i].id, r.Self, r.stored), Value: ready[i].output}
		}
		refs, err := r.contents.put(ctx, part, records, r.CallBytes)
		if err != nil {
			return err
		}
		for n, i := range indexes {
			ready[i].result.Output = refs[n]
		}
	}
	return nil
}

// records returns the records that list results after those that l holds.
// Items that are listed, or whose job has ended, are left out.
func (r *runner) records(l *IndexState, ready []listing) ([]keyedlog.Record, error) {
	next := make(map[string]int)
	var records []keyedlog.Record
	for _, e := range ready {
		j := l.jobs[e.id.job]
		if j == nil || j.ended || j.listed[e.id.item] {
			continue
		}
		if _, ok := next[e.id.job]; !ok {
			next[e.id.job] = len(j.results)
		}
		result := e.result
		result.Position = next[e.id.job]
		next[e.id.job]++
		record, err := encode(itemKey(kindResult, e.id.job, e.id.item), result)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// takeOverPace is the interval of looks at jobs whose owner is gone.
const takeOverPace = 300 * time.Millisecond

// takeOver claims jobs whose owner does not run them any more.
func (s *Service) takeOver(ctx context.Context) {
	for sleep.For(ctx, takeOverPace) {
		orphans := s.orphans()
		if len(orphans) == 0 {
			continue
		}
		claimCtx, cancel := context.WithTimeout(ctx, contentTimeout)
		err := s.claim(claimCtx, orphans)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Int("jobs", len(orphans)).Msg("jobs not taken over yet")
		}
	}
}

// orphans returns the open jobs that this entry is to take over, with the
// owner that is gone.
func (s *Service) orphans() map[string]Owner {
	if s.leaving() {
		return nil
	}
	var candidates []string
	orphans := make(map[string]Owner)
	others := s.Index.ledger.views(func(j *job) bool { return j.owner != s.Self && j.open() })
	for _, j := range others {
		if s.Peers.Alive(j.owner.Entry, j.owner.Incarnation) {
			continue
		}
		if candidates == nil {
			candidates = s.Peers.Candidates()
		}
		if heir(j.ID, candidates) == s.Self.Entry {
			orphans[j.ID] = j.owner
		}
	}
	return orphans
}

func (s *Service) leaving() bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.runner.stop
}

// claim makes this entry the owner of jobs, as far as they still have the
// owner that is gone.
func (s *Service) claim(ctx context.Context, orphans map[string]Owner) error {
	claimed := 0
	s.runner.hold(orphans)
	err := s.Index.change(ctx, func(l *IndexState) ([]keyedlog.Record, error) {
		var records []keyedlog.Record
		for id, gone := range orphans {
			j := l.jobs[id]
			if j == nil || !j.open() || j.owner != gone {
				continue
			}
			record, err := encode(key(kindOwner, id), s.Self)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
		claimed = len(records)
		return records, nil
	})
	s.runner.release(ctx, orphans)
	if err == nil && claimed > 0 {
		s.Log.Info().Int("jobs", claimed).Msg("jobs of an entry that is gone taken over")
	}
	return err
}

// heir chooses the entry that takes a job over, the same at all entries that
// know the same candidates.
func heir(job string, candidates []string) string {
	best, most := "", uint64(0)
	for _, c := range candidates {
		if score := membership.Score(job, c); best == "" || score > most {
			best, most = c, score
		}
	}
	return best
}

package batch

import (
	"context"
	"time"

	"dandelionrelay/keyedlog"
	"dandelionrelay/membership"
	"dandelionrelay/sleep"
)

// listLoop stores the outputs of finished items and lists their results in the
// index until ctx ends.
func (r *runner) listLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.finished:
		}
		if !sleep.For(ctx, listDelay) {
			return
		}
		if !r.listFinished(ctx) {
			// The store is unavailable: results stay in memory and are retried.
			sleep.For(ctx, storeRetryDelay)
			signal(r.finished)
		}
	}
}

// finishedItem is a result that is not listed in the index yet.
type finishedItem struct {
	id     itemID
	result Result
	output []byte
}

// listFinished lists the results of all finished items. It returns false if some
// remain to be listed.
func (r *runner) listFinished(ctx context.Context) bool {
	ready := r.finishedItems()
	if len(ready) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*contentTimeout)
	defer cancel()
	if err := r.storeOutputs(ctx, ready); err != nil {
		r.Log.Warn().Err(err).Int("items", len(ready)).Msg("storing outputs of batch items failed; will retry")
		return false
	}
	err := r.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) { return r.resultRecords(state, ready) })
	if err != nil {
		r.Log.Warn().Err(err).Int("items", len(ready)).Msg("appending results to the job index failed; will retry")
		return false
	}
	for _, e := range ready {
		r.Metrics.listed.WithLabelValues(string(e.result.State)).Inc()
		r.Log.Info().Str("job", e.id.job).Int("item", e.id.item).Str("state", string(e.result.State)).
			Int("bytes", len(e.output)).Msg("result of batch item listed")
	}
	return true
}

// maxOutputKey bounds the key of an output, in bytes.
const maxOutputKey = 255

// finishedItems returns the items whose results are to be listed. Items whose
// output does not fit in a record become errored.
func (r *runner) finishedItems() []finishedItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []finishedItem
	for id, p := range r.items {
		if p.phase != phaseFinished {
			continue
		}
		if len(p.output)+recordOverhead+maxOutputKey > r.limits.Load().RecordBytes {
			r.Log.Error().Str("job", id.job).Int("item", id.item).Int("bytes", len(p.output)).Msg("output exceeds the record size limit; batch item marked as errored")
			p.result = Result{State: Errored, Reason: "its output is too large"}
			p.reset()
		}
		ready = append(ready, finishedItem{id: id, result: p.result, output: p.output})
	}
	return ready
}

// storeOutputs stores the outputs of completed items by partition and sets the
// references in their results.
func (r *runner) storeOutputs(ctx context.Context, ready []finishedItem) error {
	byPartition := make(map[int][]int)
	for i, e := range ready {
		if e.result.State == Completed && len(e.output) > 0 {
			partition := r.contents.partition(e.id.job)
			byPartition[partition] = append(byPartition[partition], i)
		}
	}
	for partition, indexes := range byPartition {
		records := make([]keyedlog.Record, len(indexes))
		for n, i := range indexes {
			r.outputSequence++
			records[n] = keyedlog.Record{Key: outputKey(ready[i].id, r.Self, r.outputSequence), Value: ready[i].output}
		}
		refs, err := r.contents.put(ctx, partition, records, r.limits.Load().CallBytes)
		if err != nil {
			return err
		}
		for n, i := range indexes {
			ready[i].result.Output = refs[n]
		}
	}
	return nil
}

// resultRecords returns the index records that list results, at the positions
// after those in state. Items that are already listed, or whose job was
// cancelled or deleted, are left out.
func (r *runner) resultRecords(state *IndexState, ready []finishedItem) ([]keyedlog.Record, error) {
	next := make(map[string]int)
	var records []keyedlog.Record
	for _, e := range ready {
		j := state.jobs[e.id.job]
		if j == nil || j.cancelled || j.listed[e.id.item] {
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

// takeOverInterval is the interval of checks for jobs whose owner is not alive.
const takeOverInterval = 300 * time.Millisecond

// takeOverLoop claims open jobs whose owner is not alive until ctx ends.
func (s *Service) takeOverLoop(ctx context.Context) {
	for sleep.For(ctx, takeOverInterval) {
		orphans := s.orphans()
		if len(orphans) == 0 {
			continue
		}
		claimCtx, cancel := context.WithTimeout(ctx, contentTimeout)
		err := s.claim(claimCtx, orphans)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Int("jobs", len(orphans)).Msg("taking over batch jobs failed; will retry")
		}
	}
}

// orphans returns the open jobs that this entry has to take over, by ID, with
// their former owner.
func (s *Service) orphans() map[string]Owner {
	if s.isDraining() || s.Config.Current().Version == 0 { // the homes of jobs are not known yet
		return nil
	}
	var candidates []string
	orphans := make(map[string]Owner)
	unclaimable := make(map[string]bool)
	others := s.Index.state.views(func(j *job) bool { return j.owner != s.Self && j.open() })
	for _, j := range others {
		if s.Peers.Alive(j.owner.Entry, j.owner.Incarnation) {
			continue
		}
		if candidates == nil {
			candidates = s.Peers.Candidates()
		}
		allowed := s.within(candidates, j)
		if successor(j.ID, allowed) == s.Self.Entry {
			orphans[j.ID] = j.owner
		}
		if len(allowed) == 0 {
			unclaimable[j.ID] = true
			s.logUnclaimable(j)
		}
	}
	s.unclaimable = unclaimable
	return orphans
}

// logUnclaimable logs, once for each job, that no entry may take it over within its homes.
func (s *Service) logUnclaimable(j view) {
	if !s.unclaimable[j.ID] {
		s.Log.Warn().Str("job", j.ID).Str("customer", j.Customer).Str("route", j.Route).Str("owner", j.owner.Entry).
			Msg("no entry within its homes may take over this job; it waits")
	}
}

// within returns those of the candidates that may take over a job: its bodies are read only
// in the homes of its route and customer.
func (s *Service) within(candidates []string, j view) []string {
	snapshot := s.Config.Current()
	homes := snapshot.Homes(snapshot.State.Routes[j.Route], j.Customer)
	if len(homes) == 0 || s.MayTakeOver == nil {
		return candidates
	}
	var list []string
	for _, c := range candidates {
		if s.MayTakeOver(c, homes) {
			list = append(list, c)
		}
	}
	return list
}

// isDraining reports whether Drain was called.
func (s *Service) isDraining() bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.runner.draining
}

// claim makes this entry the owner of those orphans that still have the given former
// owner. Their items start only after their checkpoints have been read.
func (s *Service) claim(ctx context.Context, orphans map[string]Owner) error {
	claimed := 0
	s.runner.hold(orphans)
	err := s.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) {
		var records []keyedlog.Record
		for id, former := range orphans {
			j := state.jobs[id]
			if j == nil || !j.open() || j.owner != former {
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
		s.Log.Info().Int("jobs", claimed).Msg("took over batch jobs of entries that are not alive")
	}
	return err
}

// successor returns the candidate that takes over a job, by rendezvous hashing:
// all entries that know the same candidates choose the same one. It returns "" if
// there are no candidates.
func successor(job string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		if score := membership.Score(job, c); best == "" || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

package batch

import (
	"context"
	"time"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Times of finished jobs.
const (
	// expirePace is the interval of looks for jobs that need not be kept.
	expirePace = 5 * time.Second
	// keepGrace is how long a job is kept beyond the bound: entries' times of
	// day may differ.
	keepGrace = 30 * time.Second
	// expireAtOnce bounds the jobs that are dropped in one change.
	expireAtOnce = 20
)

// expire drops jobs that are not open and older than Keep, with all that is
// stored of them.
func (s *Service) expire(ctx context.Context) {
	for sleep.For(ctx, expirePace) {
		old := s.expired()
		if len(old) == 0 {
			continue
		}
		dropCtx, cancel := context.WithTimeout(ctx, contentTimeout)
		err := s.drop(dropCtx, old)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Int("jobs", len(old)).Msg("old jobs not dropped yet")
		}
	}
}

// expired returns jobs that this entry is to drop.
func (s *Service) expired() []view {
	candidates := s.Peers.Candidates()
	before := time.Now().Add(-s.Retention - keepGrace)
	closed := s.Index.ledger.views(func(j *job) bool { return !j.open() && j.Submitted.Before(before) })
	var old []view
	for _, j := range closed {
		if len(old) < expireAtOnce && heir(j.ID, candidates) == s.Self.Entry {
			old = append(old, j)
		}
	}
	return old
}

// drop drops the contents of jobs first: a job whose record remains is dropped
// again.
func (s *Service) drop(ctx context.Context, old []view) error {
	byPart := make(map[int][]keyedlog.Record)
	drop := func(r Ref) {
		// Partitions may be those of a fleet that had more.
		if r.Key != "" && r.Partition >= 0 && r.Partition < len(s.Stores) {
			byPart[r.Partition] = append(byPart[r.Partition], keyedlog.Record{Key: r.Key})
		}
	}
	for _, j := range old {
		for i, item := range j.Items {
			drop(item.Ref)
			drop(Ref{Key: itemKey(kindCheckpoint, j.ID, i), Partition: s.contents.part(j.ID)})
		}
		for _, r := range j.results {
			drop(r.Output)
		}
	}
	if err := s.contents.appendAll(ctx, byPart, s.CallBytes); err != nil {
		return err
	}
	err := s.Index.change(ctx, func(l *IndexState) ([]keyedlog.Record, error) {
		var records []keyedlog.Record
		for _, j := range old {
			if l.jobs[j.ID] != nil {
				records = append(records, j.tombstones()...)
			}
		}
		return records, nil
	})
	if err == nil {
		s.Log.Info().Int("jobs", len(old)).Msg("old jobs dropped")
	}
	return err
}

// tombstones returns the records that drop a job from the index, the job's own
// last.
func (v view) tombstones() []keyedlog.Record {
	records := []keyedlog.Record{{Key: key(kindOwner, v.ID)}, {Key: key(kindEnd, v.ID)}}
	for item := range v.listed {
		records = append(records, keyedlog.Record{Key: itemKey(kindResult, v.ID, item)})
	}
	return append(records, keyedlog.Record{Key: key(kindJob, v.ID)})
}

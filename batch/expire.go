package batch

import (
	"context"
	"time"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Limits of the deletion of finished and cancelled jobs.
const (
	// expireInterval is the interval of checks for jobs past their retention.
	expireInterval = 5 * time.Second
	// retentionGrace is how long a job is kept beyond its retention, as the wall
	// clocks of entries may differ.
	retentionGrace = 30 * time.Second
	// maxExpiredPerUpdate bounds the jobs deleted in one update of the index.
	maxExpiredPerUpdate = 20
)

// expireLoop deletes jobs that are not open and were submitted longer than
// Limits.Retention ago, with all their stored contents, until ctx ends.
func (s *Service) expireLoop(ctx context.Context) {
	for sleep.For(ctx, expireInterval) {
		old := s.expiredJobs()
		if len(old) == 0 {
			continue
		}
		deleteCtx, cancel := context.WithTimeout(ctx, contentTimeout)
		err := s.deleteJobs(deleteCtx, old)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Int("jobs", len(old)).Msg("deleting expired batch jobs failed; will retry")
		}
	}
}

// expiredJobs returns up to maxExpiredPerUpdate jobs that this entry has to
// delete.
func (s *Service) expiredJobs() []view {
	candidates := s.Peers.Candidates()
	before := time.Now().Add(-s.limits.Load().Retention - retentionGrace)
	closed := s.Index.state.views(func(j *job) bool { return !j.open() && j.Submitted.Before(before) })
	var old []view
	for _, j := range closed {
		if len(old) < maxExpiredPerUpdate && successor(j.ID, candidates) == s.Self.Entry {
			old = append(old, j)
		}
	}
	return old
}

// deleteJobs deletes the contents of jobs, then their index records. If it fails
// before the index records are deleted, a later call deletes the jobs again.
func (s *Service) deleteJobs(ctx context.Context, old []view) error {
	byPartition := make(map[int][]keyedlog.Record)
	addTombstone := func(r Ref) {
		// The job may have been stored when the fleet had more partitions.
		if r.Key != "" && r.Partition >= 0 && r.Partition < len(s.Stores) {
			byPartition[r.Partition] = append(byPartition[r.Partition], keyedlog.Record{Key: r.Key})
		}
	}
	for _, j := range old {
		for i, item := range j.Items {
			addTombstone(item.Ref)
			addTombstone(Ref{Key: itemKey(kindCheckpoint, j.ID, i), Partition: s.contents.partition(j.ID)})
		}
		for _, r := range j.results {
			addTombstone(r.Output)
		}
	}
	if err := s.contents.appendAll(ctx, byPartition, s.limits.Load().CallBytes); err != nil {
		return err
	}
	err := s.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) {
		var records []keyedlog.Record
		for _, j := range old {
			if state.jobs[j.ID] != nil {
				records = append(records, j.tombstones()...)
			}
		}
		return records, nil
	})
	if err == nil {
		s.Log.Info().Int("jobs", len(old)).Msg("expired batch jobs deleted")
	}
	return err
}

// tombstones returns the records that delete a job from the index, that of the
// job itself last.
func (v view) tombstones() []keyedlog.Record {
	records := []keyedlog.Record{{Key: key(kindOwner, v.ID)}, {Key: key(kindCancel, v.ID)}}
	for item := range v.listed {
		records = append(records, keyedlog.Record{Key: itemKey(kindResult, v.ID, item)})
	}
	return append(records, keyedlog.Record{Key: key(kindJob, v.ID)})
}

package batch

import (
	"bytes"
	"context"
	"strings"
	"time"

	"dandelionrelay/eventstream"
	"dandelionrelay/keyedlog"
	"dandelionrelay/origin"
)

// Limits and key of checkpoints. The output of unfinished items is stored periodically,
// so that an entry that takes over a job resumes its items from there.
const (
	// checkpointInterval is the interval at which checkpoints are stored. It limits
	// the progress that is lost when an owner is killed.
	checkpointInterval = 2 * time.Second
	// minCheckpointEvents is the number of events since the last checkpoint below
	// which no new one is written.
	minCheckpointEvents = 30
	// checkpointReadTimeout bounds reading the checkpoints of jobs that were taken
	// over together; their items do not start meanwhile.
	checkpointReadTimeout = 700 * time.Millisecond
	// kindCheckpoint is the first component of the keys of checkpoints.
	kindCheckpoint = "p"
)

// checkpoint is the header of a stored checkpoint; the output so far follows it.
type checkpoint struct {
	Events int   `json:"events"`  // number of events in the output
	LastID int64 `json:"last_id"` // ID of the last event that has one
	HasID  bool  `json:"has_id"`  // an event with an ID was received
	// Origin is that of the output. Checkpoints without it, of earlier releases, are not
	// used.
	Origin origin.Origin `json:"origin"`
}

// checkpointRecord returns the progress of an item as a record to store. It
// returns false if the item has received fewer than minCheckpointEvents events
// since the last checkpoint.
func (p *progress) checkpointRecord() (keyedlog.Record, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events < p.checkpointedEvents+minCheckpointEvents {
		return keyedlog.Record{}, false, nil
	}
	value, err := encodeContent(checkpoint{Events: p.events, LastID: p.cursor.LastID, HasID: p.cursor.HasID, Origin: p.origin}, p.output)
	if err != nil {
		return keyedlog.Record{}, false, err
	}
	p.checkpointedEvents = p.events
	return keyedlog.Record{Key: itemKey(kindCheckpoint, p.id.job, p.id.item), Value: value}, true, nil
}

// restore sets the progress of an item to a checkpoint stored by another owner,
// unless this entry has received at least as many events of the item.
func (p *progress) restore(value []byte) error {
	var c checkpoint
	output, err := decodeContent(value, &c)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Events <= p.events || c.Origin == (origin.Origin{}) {
		return nil
	}
	p.output = bytes.Clone(output)
	p.origin = c.Origin
	p.events, p.checkpointedEvents = c.Events, c.Events
	p.cursor = eventstream.Cursor{LastID: c.LastID, HasID: c.HasID}
	return nil
}

// checkpointLoop stores checkpoints every checkpointInterval and once when this
// entry starts to drain, until ctx ends.
func (r *runner) checkpointLoop(ctx context.Context) {
	timer := time.NewTimer(checkpointInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.drainSignal:
		}
		timer.Reset(checkpointInterval)
		if err := r.storeCheckpoints(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn().Err(err).Msg("storing checkpoints of batch items failed; will retry")
		}
	}
}

// storeCheckpoints stores a checkpoint of each unfinished item that has received at
// least minCheckpointEvents events since its last one. Checkpoints larger than
// RecordBytes are skipped.
func (r *runner) storeCheckpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	byPartition := make(map[int][]keyedlog.Record)
	for _, p := range r.unfinished() {
		record, ok, err := p.checkpointRecord()
		if err != nil {
			return err
		}
		if ok && recordSize(record) <= r.limits.Load().RecordBytes {
			partition := r.contents.partition(p.id.job)
			byPartition[partition] = append(byPartition[partition], record)
		}
	}
	return r.contents.appendAll(ctx, byPartition, r.limits.Load().CallBytes)
}

// unfinished returns the items of this entry that are waiting or running.
func (r *runner) unfinished() []*progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*progress
	for _, p := range r.items {
		if p.phase != phaseFinished {
			list = append(list, p)
		}
	}
	return list
}

// hold prevents the items of jobs from starting until release is called.
func (r *runner) hold(jobs map[string]Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range jobs {
		r.held[id] = true
	}
}

// release restores the items of jobs from their checkpoints, if there are any,
// and allows them to start.
func (r *runner) release(ctx context.Context, jobs map[string]Owner) {
	ctx, cancel := context.WithTimeout(ctx, checkpointReadTimeout)
	defer cancel()
	for id := range jobs {
		found, err := r.findCheckpoints(ctx, id)
		if err != nil {
			r.Log.Warn().Err(err).Str("job", id).Msg("reading checkpoints of batch job failed; items without one restart from the beginning")
		}
		r.mu.Lock()
		for item, value := range found {
			p := r.item(itemID{id, item})
			if err := p.restore(value); err != nil {
				r.Log.Warn().Err(err).Str("job", id).Int("item", item).Msg("checkpoint of batch item cannot be decoded; item restarts from the beginning")
			}
		}
		delete(r.held, id)
		r.mu.Unlock()
	}
	signal(r.wake)
}

// findCheckpoints returns the checkpoints of a job by item index. With an error
// it returns those found so far.
func (r *runner) findCheckpoints(ctx context.Context, job string) (map[int][]byte, error) {
	found := make(map[int][]byte)
	prefix := key(kindCheckpoint, job) + "."
	for after := prefix; ; {
		page, more, err := r.Stores[r.contents.partition(job)].Newest(ctx, after)
		if err != nil {
			return found, err
		}
		for _, record := range page.Records {
			if !strings.HasPrefix(record.Key, prefix) {
				return found, nil
			}
			_, _, item, err := splitKey(record.Key)
			if err != nil {
				return found, err
			}
			found[item] = record.Value
			after = record.Key
		}
		if !more || len(page.Records) == 0 {
			return found, nil
		}
	}
}

// reset discards the output of an item and all progress with it, so that no checkpoint
// is written that counts events whose output is gone.
func (p *progress) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output, p.origin, p.events, p.checkpointedEvents, p.cursor = nil, origin.Origin{}, 0, 0, eventstream.Cursor{}
}

package batch

import (
	"bytes"
	"context"
	"strings"
	"time"

	"dandelionrelay/eventstream"
	"dandelionrelay/keyedlog"
)

// Checkpoints of items that run: their output so far is stored now and then, so
// that an heir goes on where the owner was.
const (
	// checkpointPace is the interval of checkpoints: what a killed owner loses.
	checkpointPace = 2 * time.Second
	// checkpointEvents is the least progress that is worth a checkpoint.
	checkpointEvents = 30
	// checkpointTimeout bounds the look for checkpoints of a job taken over.
	checkpointTimeout = 700 * time.Millisecond
	kindCheckpoint    = "p"
)

// checkpoint is how far an item is, before its output.
type checkpoint struct {
	Events int   `json:"events"`
	LastID int64 `json:"last_id"`
	HasID  bool  `json:"has_id"`
}

// record returns the progress of an item as it is stored; false if it is not
// worth it.
func (p *progress) record() (keyedlog.Record, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events < p.kept+checkpointEvents {
		return keyedlog.Record{}, false, nil
	}
	value, err := join(checkpoint{Events: p.events, LastID: p.cursor.LastID, HasID: p.cursor.HasID}, p.output)
	if err != nil {
		return keyedlog.Record{}, false, err
	}
	p.kept = p.events
	return keyedlog.Record{Key: itemKey(kindCheckpoint, p.id.job, p.id.item), Value: value}, true, nil
}

// restore takes over the progress that another owner stored, unless the item is
// further here.
func (p *progress) restore(value []byte) error {
	var c checkpoint
	output, err := split(value, &c)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Events <= p.events {
		return nil
	}
	p.output = bytes.Clone(output)
	p.events, p.kept = c.Events, c.Events
	p.cursor = eventstream.Cursor{LastID: c.LastID, HasID: c.HasID}
	return nil
}

// checkpoints stores the progress of items now and then, and when this entry
// leaves.
func (r *runner) checkpoints(ctx context.Context) {
	timer := time.NewTimer(checkpointPace)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.leave:
		}
		timer.Reset(checkpointPace)
		if err := r.storeCheckpoints(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn().Err(err).Msg("progress of items not stored")
		}
	}
}

func (r *runner) storeCheckpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	byPart := make(map[int][]keyedlog.Record)
	for _, p := range r.unfinished() {
		record, worth, err := p.record()
		if err != nil {
			return err
		}
		if worth && weight(record) <= r.RecordBytes {
			part := r.contents.part(p.id.job)
			byPart[part] = append(byPart[part], record)
		}
	}
	return r.contents.appendAll(ctx, byPart, r.CallBytes)
}

// unfinished returns the items of this entry that have no result yet.
func (r *runner) unfinished() []*progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*progress
	for _, p := range r.items {
		if p.phase != ended {
			list = append(list, p)
		}
	}
	return list
}

// hold keeps the items of jobs from running until release.
func (r *runner) hold(jobs map[string]Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range jobs {
		r.held[id] = true
	}
}

// release lets the items of jobs run, from their checkpoints if there are any.
func (r *runner) release(ctx context.Context, jobs map[string]Owner) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	for id := range jobs {
		found, err := r.findCheckpoints(ctx, id)
		if err != nil {
			r.Log.Warn().Err(err).Str("job", id).Msg("progress not read, its items begin again")
		}
		r.mu.Lock()
		for item, value := range found {
			p := r.item(itemID{id, item})
			if err := p.restore(value); err != nil {
				r.Log.Warn().Err(err).Str("job", id).Int("item", item).Msg("progress can't be read, the item begins again")
			}
		}
		delete(r.held, id)
		r.mu.Unlock()
	}
	poke(r.wake)
}

// findCheckpoints returns the checkpoints of a job by item.
func (r *runner) findCheckpoints(ctx context.Context, job string) (map[int][]byte, error) {
	found := make(map[int][]byte)
	prefix := key(kindCheckpoint, job) + "."
	for after := prefix; ; {
		page, more, err := r.Stores[r.contents.part(job)].Newest(ctx, after)
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

// forget empties the progress of an item that begins again.
func (p *progress) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output, p.events, p.kept, p.cursor = nil, 0, 0, eventstream.Cursor{}
}

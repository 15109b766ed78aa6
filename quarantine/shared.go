package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Times of a Shared.
const (
	// pruneInterval is the interval of looks for records that count for nothing
	// any more.
	pruneInterval = time.Minute
	// pruneSpread spreads the entries' looks, so that the first one to drop a
	// record spares the others the work.
	pruneSpread = time.Hour
)

// SharedTable is the table of one entry of a fleet that shares its events through a
// keyed partition, one record an event. It implements Suspects, and is the
// keyedlog.State of the partition. Run must run beside its use.
type SharedTable struct {
	table     *Table
	outbox    Outbox
	partition keyedlog.Partition
	log       zerolog.Logger
	bad       func(key string, err error)
	wake      chan struct{}
	lag       time.Duration // by which this entry drops old records later than others may

	mu   sync.Mutex
	kept map[string]time.Time // of the events by key
}

// NewSharedTable returns a Shared with an empty table. bad is called for each record
// that can't be read.
func NewSharedTable(p keyedlog.Partition, log zerolog.Logger, bad func(key string, err error)) *SharedTable {
	return &SharedTable{
		table:     NewTable(),
		partition: p,
		log:       log,
		bad:       bad,
		wake:      make(chan struct{}, 1),
		lag:       time.Duration(rand.Int64N(int64(pruneSpread))),
		kept:      make(map[string]time.Time),
	}
}

// Empty implements Suspects.
func (s *SharedTable) Empty() bool { return s.table.Empty() }

// Verdict implements Suspects.
func (s *SharedTable) Verdict(d Digest, customer string) Verdict {
	return s.table.Verdict(d, customer, time.Now())
}

// RecordCrash implements Suspects.
func (s *SharedTable) RecordCrash(x Crash) {
	e, held := s.table.RecordCrash(x, time.Now())
	s.log.Warn().Str("request", x.Request).Str("customer", x.Customer).Str("endpoint", x.Endpoint).Stringer("digest", x.Digest).
		Bool("held", held).Bool("quarantined", s.Verdict(x.Digest, x.Customer) == Quarantined).Msg("endpoint died with a request in flight")
	if held {
		s.share([]Event{e})
	}
}

// RecordSuccess implements Suspects.
func (s *SharedTable) RecordSuccess(d Digest) {
	if s.Empty() {
		return
	}
	if news := s.table.RecordSuccess(d, time.Now()); len(news) > 0 {
		s.log.Info().Stringer("digest", d).Int("deaths", len(news)).Msg("request ended well, deaths are not held against it")
		s.share(news)
	}
}

func (s *SharedTable) share(events []Event) {
	s.outbox.Add(events, true)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reset implements keyedlog.State. What is known here and not in the partition
// is on its way there.
func (s *SharedTable) Reset(records []keyedlog.Record) {
	s.mu.Lock()
	s.kept = make(map[string]time.Time)
	s.mu.Unlock()
	s.Apply(records)
}

// Apply implements keyedlog.State.
func (s *SharedTable) Apply(records []keyedlog.Record) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			delete(s.kept, r.Key)
			continue
		}
		var e Event
		if err := json.Unmarshal(r.Value, &e); err != nil {
			s.bad(r.Key, err)
			continue
		}
		s.kept[r.Key] = e.At
		if s.table.Merge(e, now) && s.table.Verdict(e.Digest, e.Customer, now) == Quarantined {
			s.log.Warn().Str("customer", e.Customer).Stringer("digest", e.Digest).Int64("offset", r.Offset).Msg("request quarantined")
		}
	}
}

// eventKey is the key of an event's record. Attempts may have ids of any length.
func eventKey(e Event) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.Attempt))
	return fmt.Sprintf("%s.%016x", e.Digest, h.Sum64())
}

// Run records events until ctx ends.
func (s *SharedTable) Run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.record(ctx)
		case <-prune.C:
			s.table.Expire(time.Now())
			s.prune(ctx)
		}
	}
}

// record stores the events that wait, and tries again until that is done.
func (s *SharedTable) record(ctx context.Context) {
	for {
		events := s.outbox.TakeForLog(time.Now())
		if len(events) > 0 && s.store(ctx, events) {
			return
		}
		if len(events) == 0 && !s.outbox.HasUnrecorded() || !sleep.For(ctx, appendInterval) {
			return
		}
	}
}

func (s *SharedTable) store(ctx context.Context, events []Event) bool {
	records := make([]keyedlog.Record, len(events))
	for i, e := range events {
		value, err := json.Marshal(e)
		if err != nil {
			s.log.Error().Err(err).Msg("event of the quarantine can't be encoded, it stays at this entry")
			return true
		}
		records[i] = keyedlog.Record{Key: eventKey(e), Value: value}
	}
	if s.append(ctx, records) {
		return true
	}
	s.outbox.RequeueForLog(events)
	return false
}

func (s *SharedTable) append(ctx context.Context, records []keyedlog.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.partition.Append(ctx, keyedlog.AnyOffset, records)
	if err != nil {
		s.log.Warn().Err(err).Int("records", len(records)).Msg("quarantine not stored yet")
	}
	return err == nil
}

// prune drops the records of events that count for nothing any more.
func (s *SharedTable) prune(ctx context.Context) {
	now := time.Now()
	var old []keyedlog.Record
	s.mu.Lock()
	for key, at := range s.kept {
		if now.Sub(at) > QuarantineDuration+s.lag {
			old = append(old, keyedlog.Record{Key: key})
		}
	}
	s.mu.Unlock()
	if len(old) > 0 {
		s.append(ctx, old)
	}
}

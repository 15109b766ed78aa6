package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Intervals of a SharedTable.
const (
	// pruneInterval is the interval between searches for records older than
	// QuarantineDuration.
	pruneInterval = time.Minute
	// pruneJitter is the upper bound of the random delay after which an entry
	// deletes such a record, so that usually one entry deletes it and not all of
	// them.
	pruneJitter = time.Hour
)

// SharedTable holds the table of one entry and replicates it through a keyed
// partition of the log, with one record for each event. It implements Tracker
// and the keyedlog.State of the partition. Run must run concurrently with the
// other methods.
type SharedTable struct {
	table       *Table
	outbox      Outbox
	partition   keyedlog.Partition
	logger      zerolog.Logger
	onBadRecord func(key string, err error)
	wake        chan struct{}
	pruneDelay  time.Duration // random delay before this entry deletes a record that has expired

	loggedParts atomic.Pointer[[]string] // prompt parts that the log names as quarantined; nil: none yet

	mu          sync.Mutex
	recordTimes map[string]time.Time // times of the stored events by record key
}

// NewSharedTable returns a SharedTable with an empty table. onBadRecord is
// called for each record that can't be decoded.
func NewSharedTable(p keyedlog.Partition, logger zerolog.Logger, onBadRecord func(key string, err error)) *SharedTable {
	return &SharedTable{
		table:       NewTable(),
		partition:   p,
		logger:      logger,
		onBadRecord: onBadRecord,
		wake:        make(chan struct{}, 1),
		pruneDelay:  time.Duration(rand.Int64N(int64(pruneJitter))),
		recordTimes: make(map[string]time.Time),
	}
}

// Empty implements Tracker.
func (s *SharedTable) Empty() bool { return s.table.Empty() }

// Verdict implements Tracker.
func (s *SharedTable) Verdict(d Digest, customer string) Verdict {
	return s.table.Verdict(d, customer, time.Now())
}

// RecordCrash implements Tracker.
func (s *SharedTable) RecordCrash(c Crash) {
	events := s.table.recordAll(c, time.Now())
	s.logger.Warn().Str("request", c.Request).Str("customer", c.Customer).Str("endpoint", c.Endpoint).Stringer("digest", c.Digest).
		Strs("parts", c.PromptParts).Bool("header_received", c.HeaderReceived).Int64("events", c.Events).
		Int("recorded", len(events)).Bool("quarantined", s.Verdict(c.Digest, c.Customer) == Quarantined).Msg("quarantine: endpoint died with the request in flight")
	if len(events) > 0 {
		s.enqueue(events)
	}
	s.logParts()
}

// RecordSilence implements SilenceTracker.
func (s *SharedTable) RecordSilence(c Crash) {
	e, recorded := s.table.RecordSilence(c, time.Now())
	s.logger.Warn().Str("request", c.Request).Str("customer", c.Customer).Str("endpoint", c.Endpoint).Stringer("digest", c.Digest).
		Bool("recorded", recorded).Bool("held", s.Verdict(c.Digest, c.Customer) == Held).Msg("quarantine: endpoint silent and out of reach with the request in flight")
	if recorded {
		s.enqueue([]Event{e})
	}
}

// WithdrawSilence implements SilenceTracker.
func (s *SharedTable) WithdrawSilence(c Crash) {
	if e, ok := s.table.WithdrawSilence(c); ok {
		s.enqueue([]Event{e})
	}
}

// PartsQuarantined implements Tracker.
func (s *SharedTable) PartsQuarantined(parts []string) bool {
	return s.table.PartsQuarantined(parts, time.Now())
}

// RecordSoundParts implements Tracker.
func (s *SharedTable) RecordSoundParts(parts []string) {
	if cleared := s.table.RecordSoundParts(parts, time.Now()); len(cleared) > 0 {
		s.enqueue(cleared)
	}
	s.logParts()
}

// logParts logs the prompt parts that were quarantined or cleared since the last call.
func (s *SharedTable) logParts() {
	if s.table.Empty() && s.loggedParts.Load() == nil {
		return
	}
	now := s.table.parts.allQuarantined(time.Now())
	before := s.loggedParts.Swap(&now)
	var old []string
	if before != nil {
		old = *before
	}
	if !slices.Equal(old, now) {
		s.logger.Warn().Strs("parts", now).Strs("before", old).Msg("quarantined prompt parts changed")
	}
}

// RecordSuccess implements Tracker.
func (s *SharedTable) RecordSuccess(d Digest) {
	if s.Empty() {
		return
	}
	if cleared := s.table.RecordSuccess(d, time.Now()); len(cleared) > 0 {
		s.logger.Info().Stringer("digest", d).Int("deaths", len(cleared)).Msg("quarantine: request completed; cleared of its crashes")
		s.enqueue(cleared)
	}
}

// enqueue queues events for the partition and wakes Run.
func (s *SharedTable) enqueue(events []Event) {
	s.outbox.Add(events, true)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reset implements keyedlog.State. Events that are missing in the partition stay
// in the table, since they may still be queued to be stored there.
func (s *SharedTable) Reset(records []keyedlog.Record) {
	s.mu.Lock()
	s.recordTimes = make(map[string]time.Time)
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
			delete(s.recordTimes, r.Key)
			continue
		}
		var e Event
		if err := json.Unmarshal(r.Value, &e); err != nil {
			s.onBadRecord(r.Key, err)
			continue
		}
		s.recordTimes[r.Key] = e.At
		if s.table.Merge(e, now) && len(e.Parts) == 0 && s.table.Verdict(e.Digest, e.Customer, now) == Quarantined {
			s.logger.Warn().Str("customer", e.Customer).Stringer("digest", e.Digest).Int64("offset", r.Offset).Msg("request quarantined")
		}
	}
	s.logParts()
}

// eventKey returns the key of the record of e. The attempt ID is hashed, since it
// may be of any length.
func eventKey(e Event) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.Attempt))
	facet := "request"
	if len(e.Parts) > 0 {
		facet = "parts"
	}
	return fmt.Sprintf("%s.%016x.%s", e.Digest, h.Sum64(), facet)
}

// Run stores queued events and deletes expired records until ctx is cancelled.
func (s *SharedTable) Run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.storePending(ctx)
		case <-prune.C:
			s.table.Expire(time.Now())
			s.prune(ctx)
		}
	}
}

// storePending stores the queued events. It retries at appendInterval until they
// are stored or ctx is cancelled.
func (s *SharedTable) storePending(ctx context.Context) {
	for {
		events := s.outbox.TakeForLog(time.Now())
		if len(events) > 0 && s.store(ctx, events) {
			return
		}
		if len(events) == 0 && !s.outbox.HasEventsForLog() || !sleep.For(ctx, appendInterval) {
			return
		}
	}
}

// store appends events to the partition and reports whether no retry is
// needed. Events that could not be appended are queued again. If one event can't
// be encoded, all of them are dropped.
func (s *SharedTable) store(ctx context.Context, events []Event) bool {
	records := make([]keyedlog.Record, len(events))
	for i, e := range events {
		value, err := json.Marshal(e)
		if err != nil {
			s.logger.Error().Err(err).Msg("quarantine: failed to encode events; they are not stored in the partition and stay known to this entry only")
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

// append appends records to the partition and reports whether that succeeded.
func (s *SharedTable) append(ctx context.Context, records []keyedlog.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.partition.Append(ctx, keyedlog.AnyOffset, records)
	if err != nil {
		s.logger.Warn().Err(err).Int("records", len(records)).Msg("quarantine: failed to append records to the partition; will retry")
	}
	return err == nil
}

// prune deletes the records of events that are older than QuarantineDuration by
// more than pruneDelay.
func (s *SharedTable) prune(ctx context.Context) {
	now := time.Now()
	var expired []keyedlog.Record
	s.mu.Lock()
	for key, at := range s.recordTimes {
		if now.Sub(at) > QuarantineDuration+s.pruneDelay {
			expired = append(expired, keyedlog.Record{Key: key})
		}
	}
	s.mu.Unlock()
	if len(expired) > 0 {
		s.append(ctx, expired)
	}
}

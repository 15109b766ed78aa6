// Package platform is a stand-in for the platform that the system runs on: a
// log, an instance list and a weight store in memory, with fault injection, and
// an HTTP server for them. It is for tests and demonstrations.
package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// Faults are the failures that a Log injects. The zero value injects none.
type Faults struct {
	Down       bool          // every call fails and nothing is stored
	LoseAnswer float64       // probability that the response of an append is lost: it is stored but reported as failed; lose_answer in FaultSettings
	Refuse     float64       // probability that an append fails and is not stored
	Delay      time.Duration // added latency of each append
}

// Log is an infra.Log in memory.
type Log struct {
	retention time.Duration // 0: unlimited

	mu      sync.Mutex
	rnd     *rand.Rand
	faults  Faults
	streams map[string]*stream
	appends uint64
}

type stream struct {
	oldest   infra.Offset
	records  []infra.Record
	appended chan struct{} // closed at the next append
}

// NewLog returns an empty log that keeps records for retention, or without limit
// if it is 0. Random faults are drawn from a generator with that seed.
func NewLog(retention time.Duration, seed uint64) *Log {
	return &Log{
		retention: retention,
		rnd:       rand.New(rand.NewPCG(seed, 0)),
		streams:   make(map[string]*stream),
	}
}

// SetFaults replaces the faults that are injected into later calls.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of records stored so far.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, name, id string, data []byte) (infra.Offset, error) {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if !sleep.For(ctx, delay) {
		return 0, unavailable("append", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.draw(l.faults.Refuse) {
		return 0, unavailable("append", name)
	}
	s := l.stream(name)
	offset := s.oldest + infra.Offset(len(s.records))
	record := infra.Record{Offset: offset, ID: id, Time: time.Now(), Data: append([]byte(nil), data...)}
	s.records = append(s.records, record)
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.draw(l.faults.LoseAnswer) {
		return 0, unavailable("append", name)
	}
	return offset, nil
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, name string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	var timeout <-chan time.Time
	for {
		records, appended, err := l.read(name, from, limit)
		if err != nil || len(records) > 0 || wait <= 0 {
			return records, err
		}
		if timeout == nil {
			timeout = time.After(wait)
		}
		select {
		case <-appended:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, unavailable("read", name)
		}
	}
}

func (l *Log) read(name string, from infra.Offset, limit int) ([]infra.Record, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, nil, unavailable("read", name)
	}
	s := l.stream(name)
	l.expire(s)
	if from < s.oldest {
		return nil, nil, &infra.ExpiredError{Stream: name, From: from, Oldest: s.oldest}
	}
	start := int(from - s.oldest)
	if start >= len(s.records) {
		return nil, s.appended, nil
	}
	end := min(len(s.records), start+limit)
	return append([]infra.Record(nil), s.records[start:end]...), nil, nil
}

// Bounds implements infra.Log.
func (l *Log) Bounds(_ context.Context, name string) (oldest, next infra.Offset, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, 0, unavailable("bounds", name)
	}
	s := l.stream(name)
	l.expire(s)
	return s.oldest, s.oldest + infra.Offset(len(s.records)), nil
}

// stream returns the stream with that name and creates it if it does not exist.
// The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{oldest: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire removes the records of s that are older than the retention. The caller
// holds the lock.
func (l *Log) expire(s *stream) {
	if l.retention == 0 {
		return
	}
	limit := time.Now().Add(-l.retention)
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(limit) {
		n++
	}
	s.records = s.records[n:]
	s.oldest += infra.Offset(n)
}

// draw returns true with probability p. The caller holds the lock.
func (l *Log) draw(p float64) bool {
	return p > 0 && l.rnd.Float64() < p
}

func unavailable(op, stream string) error {
	return infra.Unavailable.New("%s %s", op, stream)
}

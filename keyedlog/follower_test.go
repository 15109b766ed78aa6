package keyedlog_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/boottime"
	"dandelionrelay/keyedlog"
	"dandelionrelay/standin/keyed"
)

// state is a keyedlog.State that holds the newest value of each key.
type state struct {
	mu       sync.Mutex
	values   map[string]string
	last     int64 // offset applied last; -1 after a reset
	disorder bool  // an offset was applied twice or out of order
}

func (s *state) Reset(records []keyedlog.Record) {
	s.mu.Lock()
	s.values = make(map[string]string)
	s.last = -1
	s.mu.Unlock()
	for _, r := range records {
		s.set(r)
	}
}

func (s *state) Apply(records []keyedlog.Record) {
	for _, r := range records {
		s.mu.Lock()
		s.disorder = s.disorder || r.Offset <= s.last
		s.last = r.Offset
		s.mu.Unlock()
		s.set(r)
	}
}

func (s *state) set(r keyedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Value == nil {
		delete(s.values, r.Key)
		return
	}
	s.values[r.Key] = string(r.Value)
}

func (s *state) copy() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// countingWatcher is a keyedlog.Watcher that counts its calls.
type countingWatcher struct{ lost, regained atomic.Int64 }

func (w *countingWatcher) Lost(string, error)               { w.lost.Add(1) }
func (w *countingWatcher) Regained(string, keyedlog.Outage) { w.regained.Add(1) }

// clock returns a clock that starts at one second, as a Follower takes 0 for no time.
func clock() boottime.Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + time.Second }
}

func startFollower(t *testing.T, h *keyed.Handle, w keyedlog.Watcher) (*keyedlog.Follower, *state) {
	s := &state{}
	f := keyedlog.NewFollower(h, s, keyedlog.Options{Name: "p", MaxWait: time.Second, MinInterval: 50 * time.Millisecond, Clock: clock(), Watcher: w})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, s
}

func appendRecord(t *testing.T, h *keyed.Handle, key, value string) {
	r := keyedlog.Record{Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	if _, err := h.Append(t.Context(), keyedlog.AnyOffset, []keyedlog.Record{r}); err != nil {
		t.Fatal(err)
	}
}

// After random appends, compactions and faults of the reader the state equals that of
// the log, and between two resets each record was applied once and in order.
func TestFollowerConvergesToLog(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			log := keyed.NewLog(2)
			writer, reader := &keyed.Handle{Log: log}, &keyed.Handle{Log: log}
			want := make(map[string]string)
			_, s := startFollower(t, reader, nil)
			for i := range 200 {
				key := fmt.Sprint(random.IntN(7))
				value := ""
				if random.IntN(4) > 0 {
					value = fmt.Sprint(i)
				}
				appendRecord(t, writer, key, value)
				if value == "" {
					delete(want, key)
				} else {
					want[key] = value
				}
				switch random.IntN(20) {
				case 0:
					log.Trim()
				case 1:
					reader.SetFault(keyed.Fault(random.IntN(4)))
				}
				time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
			}
			reader.SetFault(keyed.None)
			time.Sleep(5 * time.Second)
			g.Expect(s.copy()).To(gomega.Equal(want), "seed %d", seed)
			g.Expect(s.disorder).To(gomega.BeFalse(), "seed %d", seed)
		})
	}
}

// The age counts from the start of the last read that reached the end, and an outage is
// reported to the Watcher once.
func TestFollowerReportsAgeAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		h := &keyed.Handle{Log: log}
		watcher := &countingWatcher{}
		f, _ := startFollower(t, h, watcher)
		synctest.Wait()
		time.Sleep(3 * time.Second)
		age, ok := f.Age()
		g.Expect(ok).To(gomega.BeTrue())
		// The last completed read began at most two times MaxWait ago.
		g.Expect(age).To(gomega.BeNumerically("<=", 2*time.Second))
		h.SetFault(keyed.Unreachable)
		time.Sleep(4 * time.Second)
		age, _ = f.Age()
		g.Expect(age).To(gomega.BeNumerically(">=", 4*time.Second))
		g.Expect(f.LostFor()).To(gomega.BeNumerically(">=", 2*time.Second))
		g.Expect(watcher.lost.Load()).To(gomega.BeEquivalentTo(1))
		h.SetFault(keyed.None)
		time.Sleep(600 * time.Millisecond) // more than maxRetry, the longest pause between two reads
		g.Expect(f.LostFor()).To(gomega.BeZero())
		g.Expect(watcher.regained.Load()).To(gomega.BeEquivalentTo(1))
	})
}

// Appended records are applied without being read back, unless the state does not end
// at their offset.
func TestFollowerApplyAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		h := &keyed.Handle{Log: log}
		f, s := startFollower(t, h, nil)
		synctest.Wait()
		records := []keyedlog.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}
		at, _ := f.NextOffset()
		f.ApplyAppended(at+1, records) // not the next offset
		g.Expect(s.copy()).To(gomega.BeEmpty())
		first, err := h.Append(t.Context(), at, records)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f.ApplyAppended(first, records)
		g.Expect(s.copy()).To(gomega.HaveLen(2))
		appendRecord(t, h, "c", "3")
		time.Sleep(time.Second)
		g.Expect(s.copy()).To(gomega.HaveLen(3))
		g.Expect(s.disorder).To(gomega.BeFalse())
	})
}

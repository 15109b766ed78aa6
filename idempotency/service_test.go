package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	standin "dandelionrelay/standin/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// record returns the record at offset with one event.
func record(offset infra.Offset, at time.Time, e Event) infra.Record {
	data, _ := json.Marshal([]Event{e})
	return infra.Record{Offset: offset, Time: at, Data: data}
}

func TestTable_FirstBeginInOffsetOrderRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable(DedupWindow, 1)
	begin := func(token string) Event {
		return Event{Kind: Begin, Token: token, Until: start.Add(time.Minute)}
	}
	verdict := func(token string, now time.Time) Verdict {
		v, _ := tab.Lookup(Key{}, Body{}, token, now)
		return v
	}
	tab.Apply(record(1, start, begin("a")))
	tab.Apply(record(2, start, begin("b")))
	g.Expect(verdict("a", start)).To(gomega.Equal(Run))
	g.Expect(verdict("b", start)).To(gomega.Equal(Running))
	g.Expect(verdict("b", start.Add(time.Hour))).To(gomega.Equal(OutcomeUnknown))
	tab.Apply(record(3, start, begin("b").withKind(Void)))
	g.Expect(verdict("a", start)).To(gomega.Equal(Run), "a Void affects only its own token")
	tab.Apply(record(4, start, begin("a").withKind(Void)))
	g.Expect(verdict("c", start)).To(gomega.Equal(NotBegun))
	tab.Apply(record(5, start, begin("c")))
	end := begin("c").withKind(End)
	end.Answer = &Answer{Status: 200}
	tab.Apply(record(6, start, end))
	tab.Apply(record(6, start, end.withKind(Void)))
	g.Expect(verdict("d", start)).To(gomega.Equal(Answered))
	v, _ := tab.Lookup(Key{}, Body{1}, "d", start)
	g.Expect(v).To(gomega.Equal(Conflict))
	tab.Apply(record(7, start.Add(2*DedupWindow), Event{Kind: Void}))
	g.Expect(verdict("d", start)).To(gomega.Equal(NotBegun))
	g.Expect(tab.begins).To(gomega.BeEmpty())
}

func TestCommitQueue_LimitsRecordRate(t *testing.T) {
	g := gomega.NewWithT(t)
	var queue CommitQueue
	queue.Add(Event{Token: "a", Kind: Begin})
	events, _ := queue.Take(start)
	g.Expect(events).To(gomega.HaveLen(1), "an event of an idle stream is taken at once")
	for i := range maxRecordEvents + 1 {
		queue.Add(Event{Token: fmt.Sprint(i), Kind: Begin})
	}
	events, wait := queue.Take(start)
	g.Expect(events).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.Equal(appendInterval))
	g.Expect(queue.RemoveBegin("0")).To(gomega.BeTrue())
	g.Expect(queue.RemoveBegin("0")).To(gomega.BeFalse())
	events, _ = queue.Take(start.Add(wait))
	g.Expect(events).To(gomega.HaveLen(maxRecordEvents))
	g.Expect(queue.Len()).To(gomega.BeZero())
}

func TestCoordinator_StartsReadingAtWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		for range 300 {
			_, _ = log.Append(t.Context(), "calls/00", "x", []byte("[]"))
			time.Sleep(time.Minute)
		}
		c := newCoordinator(t.Context(), "calls/00", log, DedupWindow, nil)
		g.Expect(c.initTable(t.Context())).To(gomega.Succeed())
		g.Expect(c.table.NextOffset()).To(gomega.BeNumerically("~", 300-60, 2))
	})
}

// unresponsiveLog is a log that does not respond.
type unresponsiveLog struct{ infra.Log }

func (unresponsiveLog) Bounds(ctx context.Context, _ string) (oldest, next infra.Offset, err error) {
	<-ctx.Done()
	return 0, 0, infra.Unavailable.New("no response")
}

// TestCoordinator_BeginObservesOwnDeadline begins several calls at once while the
// log does not respond: each must be refused by its own deadline and not wait for
// the read of another one.
func TestCoordinator_BeginObservesOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCoordinator(t.Context(), "calls/00", unresponsiveLog{}, DedupWindow, nil)
		var failures atomic.Int32
		for n := range 5 {
			go func() {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), logTimeout/2)
				defer cancel()
				v, _ := c.begin(ctx, Event{Kind: Begin, Key: Key{byte(n)}, Token: uuid.NewString()})
				if v != Refused || time.Since(began) > logTimeout/2 {
					failures.Add(1)
				}
			}()
		}
		synctest.Wait()
		time.Sleep(10 * logTimeout)
		g.Expect(failures.Load()).To(gomega.BeZero())
	})
}

// TestCoordinator_BeginReturnsWhenEntryStops stops an entry while a begin waits
// for its record.
func TestCoordinator_BeginReturnsWhenEntryStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		lifetime, stop := context.WithCancel(t.Context())
		c := newCoordinator(lifetime, "calls/00", log, DedupWindow, nil)
		g.Expect(c.initTable(t.Context())).To(gomega.Succeed())
		log.SetFaults(standin.Faults{Delay: time.Minute})
		go func() {
			time.Sleep(time.Second)
			stop()
		}()
		began := time.Now()
		v, _ := c.begin(t.Context(), Event{Kind: Begin, Key: Key{1}, Token: uuid.NewString()})
		g.Expect(v).To(gomega.BeElementOf(Refused, Indeterminate))
		g.Expect(time.Since(began)).To(gomega.Equal(time.Second))
	})
}

func TestService_RejectsTimedKeysOutsideWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewService(Deps{Retention: 10 * time.Minute})
	g.Expect(s.window).To(gomega.BeNumerically("<", 10*time.Minute))
	key, err := uuid.NewV7()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	now := time.Now()
	g.Expect(s.checkKey(key.String(), now)).To(gomega.BeNil())
	g.Expect(s.checkKey(key.String(), now.Add(s.window)).Code).To(gomega.Equal(api.CodeConflict))
	g.Expect(s.checkKey(key.String(), now.Add(-time.Hour)).Code).To(gomega.Equal(api.CodeBadRequest))
	g.Expect(s.checkKey("any other", now)).To(gomega.BeNil())
}

// TestService_ResendsAndLogOutage resends with the same content, with other
// content, and while the log is down.
func TestService_ResendsAndLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newTestFleet(t, 1)
		var first outcome
		for i := 0; first.body == ""; i++ { // until the endpoint responds
			first = f.send(0, fmt.Sprint("a", i), fmt.Sprint("key", i), "body")
			first.id = fmt.Sprint("key", i)
		}
		time.Sleep(time.Second)
		g.Expect(f.send(1, "b", first.id, "body").body).To(gomega.Equal(first.body))
		other := f.send(2, "c", first.id, "other body")
		g.Expect(other.err.Status).To(gomega.Equal(422))
		f.log.SetFaults(standin.Faults{Down: true})
		refused := f.send(1, "d", "new", "body")
		g.Expect(refused.err.Code).To(gomega.Equal(api.CodeLogDown))
		g.Expect(refused.err.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(refused.err.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(f.ran["d"]).To(gomega.BeFalse())
		f.log.SetFaults(standin.Faults{})
		time.Sleep(time.Minute)
	})
}

// storeThenFailLog is a log that becomes unavailable after it has stored the next
// record, unless failed is set.
type storeThenFailLog struct {
	*standin.Log
	failed *atomic.Bool
}

// Append implements infra.Log.
func (l storeThenFailLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	offset, err := l.Log.Append(ctx, stream, id, data)
	if l.failed.Swap(true) {
		return offset, err
	}
	l.SetFaults(standin.Faults{Down: true})
	return 0, infra.Unavailable.New("append")
}

// TestService_VoidsRefusedBegin stores a begin and loses the response to the
// append, as the log becomes unavailable. A resend after its recovery must run.
func TestService_VoidsRefusedBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		failed := new(atomic.Bool)
		failed.Store(true)
		f := newTestFleetOn(t, 1, func(log *standin.Log) infra.Log { return storeThenFailLog{log, failed} })
		g.Expect(f.send(0, "warm", "warm", "body").err).NotTo(gomega.Equal(refusalError(Indeterminate)))
		time.Sleep(time.Second)
		failed.Store(false)
		refused := f.send(0, "a", "key", "body")
		g.Expect(refused.err.Code).To(gomega.Equal(api.CodeLogDown))
		f.log.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		for i := 0; i < 20 && f.runs["key"] == 0; i++ { // the endpoint may refuse
			f.send(1, fmt.Sprint("b", i), "key", "body")
			time.Sleep(time.Second)
		}
		g.Expect(f.runs["key"]).To(gomega.Equal(1))
		time.Sleep(time.Minute)
	})
}

// TestService_DrainStoresEnds replaces every entry after a drain: a resend must
// get the stored response.
func TestService_DrainStoresEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newTestFleet(t, 1)
		var first outcome
		for i := 0; first.body == ""; i++ { // until the endpoint responds
			first = f.send(0, fmt.Sprint("a", i), fmt.Sprint("key", i), "body")
			first.id = fmt.Sprint("key", i)
		}
		for _, s := range f.services {
			g.Expect(s.Drain(t.Context())).To(gomega.Succeed())
		}
		for i := range f.services {
			f.kill(i)
		}
		g.Expect(f.send(2, "b", first.id, "body").body).To(gomega.Equal(first.body))
	})
}

// TestCoordinator_GroupCommitBoundsAppends begins 2000 calls per second and counts
// the records.
func TestCoordinator_GroupCommitBoundsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const seconds, perSecond = 10, 2000
		log := standin.NewLog(0, 1)
		c := newCoordinator(t.Context(), "calls/00", log, DedupWindow, nil)
		for i := range seconds * perSecond {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				e := Event{Kind: Begin, Key: KeyOf("c", "r", fmt.Sprint(i)), Token: fmt.Sprint(i), Until: time.Now().Add(time.Hour)}
				if v, _ := c.begin(ctx, e); v != Run {
					t.Errorf("call %d: verdict %d", i, v)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		g.Expect(log.Appends()).To(gomega.BeNumerically("<=", 1+(seconds+1)*uint64(time.Second/appendInterval)))
	})
}

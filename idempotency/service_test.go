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

// record returns a record at an offset with one event.
func record(offset infra.Offset, at time.Time, e Event) infra.Record {
	data, _ := json.Marshal([]Event{e})
	return infra.Record{Offset: offset, Time: at, Data: data}
}

func TestFirstBeginInOffsetOrderRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable(DedupWindow, 1)
	begin := func(token string) Event {
		return Event{Kind: Begin, Token: token, Until: start.Add(time.Minute)}
	}
	look := func(token string, now time.Time) Verdict {
		v, _ := tab.Lookup(Key{}, Body{}, token, now)
		return v
	}
	tab.Apply(record(1, start, begin("a")))
	tab.Apply(record(2, start, begin("b")))
	g.Expect(look("a", start)).To(gomega.Equal(Run))
	g.Expect(look("b", start)).To(gomega.Equal(Running))
	g.Expect(look("b", start.Add(time.Hour))).To(gomega.Equal(OutcomeUnknown))
	tab.Apply(record(3, start, begin("b").as(Void)))
	g.Expect(look("a", start)).To(gomega.Equal(Run), "only the holder can void its token")
	tab.Apply(record(4, start, begin("a").as(Void)))
	g.Expect(look("c", start)).To(gomega.Equal(NotBegun))
	tab.Apply(record(5, start, begin("c")))
	end := begin("c").as(End)
	end.Answer = &Answer{Status: 200}
	tab.Apply(record(6, start, end))
	tab.Apply(record(6, start, end.as(Void)))
	g.Expect(look("d", start)).To(gomega.Equal(Answered))
	v, _ := tab.Lookup(Key{}, Body{1}, "d", start)
	g.Expect(v).To(gomega.Equal(Conflict))
	tab.Apply(record(7, start.Add(2*DedupWindow), Event{Kind: Void}))
	g.Expect(look("d", start)).To(gomega.Equal(NotBegun))
	g.Expect(tab.order).To(gomega.BeEmpty())
}

func TestGroupPacesRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	var group CommitQueue
	group.Add(Event{Token: "a", Kind: Begin})
	events, _ := group.Take(start)
	g.Expect(events).To(gomega.HaveLen(1), "an idle stream takes an event at once")
	for i := range maxGroup + 1 {
		group.Add(Event{Token: fmt.Sprint(i), Kind: Begin})
	}
	events, wait := group.Take(start)
	g.Expect(events).To(gomega.BeEmpty())
	g.Expect(wait).To(gomega.Equal(appendInterval))
	g.Expect(group.RemoveBegin("0")).To(gomega.BeTrue())
	g.Expect(group.RemoveBegin("0")).To(gomega.BeFalse())
	events, _ = group.Take(start.Add(wait))
	g.Expect(events).To(gomega.HaveLen(maxGroup))
	g.Expect(group.Len()).To(gomega.BeZero())
}

func TestSeekSkipsWhatNoKeyNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		for range 300 {
			_, _ = log.Append(t.Context(), "calls/00", "x", []byte("[]"))
			time.Sleep(time.Minute)
		}
		h := newHome(t.Context(), "calls/00", log, DedupWindow, nil)
		g.Expect(h.open(t.Context())).To(gomega.Succeed())
		g.Expect(h.table.NextOffset()).To(gomega.BeNumerically("~", 300-60, 2))
	})
}

// silentLog never answers.
type silentLog struct{ infra.Log }

func (silentLog) Bounds(ctx context.Context, _ string) (oldest, next infra.Offset, err error) {
	<-ctx.Done()
	return 0, 0, infra.Unavailable.New("no answer")
}

// TestNoBeginWaitsForAnothersReading has several begins at once while the log
// is silent: each must be refused by its own deadline.
func TestNoBeginWaitsForAnothersReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newHome(t.Context(), "calls/00", silentLog{}, DedupWindow, nil)
		var late atomic.Int32
		for n := range 5 {
			go func() {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), logTimeout/2)
				defer cancel()
				v, _ := h.begin(ctx, Event{Kind: Begin, Key: Key{byte(n)}, Token: uuid.NewString()})
				if v != Refused || time.Since(began) > logTimeout/2 {
					late.Add(1)
				}
			}()
		}
		synctest.Wait()
		time.Sleep(10 * logTimeout)
		g.Expect(late.Load()).To(gomega.BeZero())
	})
}

// TestABeginEndsWithTheEntry ends an entry while a begin waits for its record.
func TestABeginEndsWithTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		life, end := context.WithCancel(t.Context())
		h := newHome(life, "calls/00", log, DedupWindow, nil)
		g.Expect(h.open(t.Context())).To(gomega.Succeed())
		log.SetFaults(standin.Faults{Delay: time.Minute})
		go func() {
			time.Sleep(time.Second)
			end()
		}()
		began := time.Now()
		v, _ := h.begin(t.Context(), Event{Kind: Begin, Key: Key{1}, Token: uuid.NewString()})
		g.Expect(v).To(gomega.BeElementOf(Refused, Indeterminate))
		g.Expect(time.Since(began)).To(gomega.Equal(time.Second))
	})
}

func TestKeysWithATimeAreRefusedOnceForgotten(t *testing.T) {
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

// TestResendsAndLogOutage covers each answer to a resend.
func TestResendsAndLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newRig(t, 1)
		var first got
		for i := 0; first.body == ""; i++ { // until the endpoint answers
			first = r.send(0, fmt.Sprint("a", i), fmt.Sprint("key", i), "body")
			first.id = fmt.Sprint("key", i)
		}
		time.Sleep(time.Second)
		g.Expect(r.send(1, "b", first.id, "body").body).To(gomega.Equal(first.body))
		other := r.send(2, "c", first.id, "other body")
		g.Expect(other.err.Status).To(gomega.Equal(422))
		r.log.SetFaults(standin.Faults{Down: true})
		refused := r.send(1, "d", "new", "body")
		g.Expect(refused.err.Code).To(gomega.Equal(api.CodeLogDown))
		g.Expect(refused.err.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(refused.err.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(r.ran["d"]).To(gomega.BeFalse())
		r.log.SetFaults(standin.Faults{})
		time.Sleep(time.Minute)
	})
}

// storesAndFalls is a log that goes down as it stores a record, unless it has
// fallen before.
type storesAndFalls struct {
	*standin.Log
	fallen *atomic.Bool
}

// Append implements infra.Log.
func (l storesAndFalls) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	offset, err := l.Log.Append(ctx, stream, id, data)
	if l.fallen.Swap(true) {
		return offset, err
	}
	l.SetFaults(standin.Faults{Down: true})
	return 0, infra.Unavailable.New("append")
}

// TestRefusedBeginIsMadeVoid stores a begin whose answer is lost, as the log
// goes down, and resends once it is back: the resend runs.
func TestRefusedBeginIsMadeVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fallen := new(atomic.Bool)
		fallen.Store(true)
		r := newRigOn(t, 1, func(log *standin.Log) infra.Log { return storesAndFalls{log, fallen} })
		g.Expect(r.send(0, "warm", "warm", "body").err).NotTo(gomega.Equal(refusal(Indeterminate)))
		time.Sleep(time.Second)
		fallen.Store(false)
		refused := r.send(0, "a", "key", "body")
		g.Expect(refused.err.Code).To(gomega.Equal(api.CodeLogDown))
		r.log.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		for i := 0; i < 20 && r.runs["key"] == 0; i++ { // the endpoint may refuse
			r.send(1, fmt.Sprint("b", i), "key", "body")
			time.Sleep(time.Second)
		}
		g.Expect(r.runs["key"]).To(gomega.Equal(1))
		time.Sleep(time.Minute)
	})
}

// TestDrainStoresTheEnds replaces every entry after a drain: the answer is
// still there.
func TestDrainStoresTheEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newRig(t, 1)
		var first got
		for i := 0; first.body == ""; i++ { // until the endpoint answers
			first = r.send(0, fmt.Sprint("a", i), fmt.Sprint("key", i), "body")
			first.id = fmt.Sprint("key", i)
		}
		for _, s := range r.services {
			g.Expect(s.Drain(t.Context())).To(gomega.Succeed())
		}
		for i := range r.services {
			r.kill(i)
		}
		g.Expect(r.send(2, "b", first.id, "body").body).To(gomega.Equal(first.body))
	})
}

// TestGroupCommitBoundsAppends begins many calls at once and counts records.
func TestGroupCommitBoundsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const seconds, perSecond = 10, 2000
		log := standin.NewLog(0, 1)
		h := newHome(t.Context(), "calls/00", log, DedupWindow, nil)
		for i := range seconds * perSecond {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				e := Event{Kind: Begin, Key: KeyOf("c", "r", fmt.Sprint(i)), Token: fmt.Sprint(i), Until: time.Now().Add(time.Hour)}
				if v, _ := h.begin(ctx, e); v != Run {
					t.Errorf("call %d: verdict %d", i, v)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		g.Expect(log.Appends()).To(gomega.BeNumerically("<=", 1+(seconds+1)*uint64(time.Second/appendInterval)))
	})
}

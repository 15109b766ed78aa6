package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// testScheduler is a scheduler with a simulated clock whose facts are replayed at
// once.
type testScheduler struct {
	t          *testing.T
	now        time.Time
	nextOffset infra.Offset
	scheduler  *scheduler
	crash      api.Crash // in the results that endAttempt reports
}

func newTestScheduler(t *testing.T) *testScheduler {
	inv := invariant.New(func(v invariant.Violation) { t.Error(v) })
	ts := &testScheduler{t: t, now: time.Unix(1_000_000, 0), nextOffset: 1}
	ts.scheduler = newScheduler(inv, NewTable(inv), "o")
	ts.scheduler.table.MarkReplayed()
	return ts
}

func (ts *testScheduler) apply(h *header) {
	record := infra.Record{Offset: ts.nextOffset, ID: fmt.Sprint(ts.nextOffset), Time: ts.now, Data: encodeRecord(h)}
	if err := ts.scheduler.table.Apply(record); err != nil {
		ts.t.Fatal(err)
	}
	ts.nextOffset++
}

// submitJob adds a job that is due after the duration due.
func (ts *testScheduler) submitJob(id, customer string, items int, due time.Duration, idempotent bool) {
	c := &chunkHeader{Upload: id}
	for i := range items {
		c.Items = append(c.Items, chunkItem{CustomID: fmt.Sprint(i)})
	}
	ts.apply(&header{
		Chunk: c,
		File: &fileRecord{
			ID: id, Customer: customer, Upload: id, Items: items, FirstItems: []int{0},
			Targets: []target{{Deployment: "d", Idempotent: idempotent}}, Kept: ts.now.Add(time.Hour),
		},
		Job: &jobRecord{
			ID: id, Customer: customer, File: id, Due: ts.now.Add(due),
			Expires: ts.now.Add(due + time.Hour), Kept: ts.now.Add(due + 2*time.Hour),
		},
	})
}

// takeItem assigns the next item to an endpoint.
func (ts *testScheduler) takeItem(endpoint string) (assignment, bool) {
	candidates := ts.scheduler.candidates(ts.now, "d", endpoint, true)
	if len(candidates) == 0 {
		return assignment{}, false
	}
	return ts.scheduler.assign(ts.now, candidates[0].job, "d", endpoint, true)
}

// endAttempt reports the end of an attempt and replays the resulting facts.
func (ts *testScheduler) endAttempt(a assignment, endpoint string, state api.ResultState, status int) {
	res := &api.Result{WorkRef: a.work.WorkRef, State: state, Status: status, Crash: ts.crash, Resume: &api.Resume{Text: "so far", Tokens: 2}}
	ts.replayFacts(ts.scheduler.report(ts.now, endpoint, res))
}

func (ts *testScheduler) replayFacts(facts []fact) {
	if len(facts) > 0 {
		ts.apply(&header{Facts: facts})
	}
}

// view returns the view of a job.
func (ts *testScheduler) view(job string) View {
	return ts.scheduler.table.Job(job).view()
}

func TestScheduler_FailsItemAfterMaxAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 1, time.Hour, true)
	for n := range MaxAttempts {
		work, ok := ts.takeItem("s1")
		g.Expect(ok).To(gomega.BeTrue(), "attempt %d", n)
		ts.endAttempt(work, "s1", api.ResultDone, 500)
		ts.now = ts.now.Add(RetryDelay << (MaxAttempts + 1))
	}
	_, ok := ts.takeItem("s1")
	g.Expect(ok).To(gomega.BeFalse())
	v := ts.view("j")
	g.Expect(v.Status).To(gomega.Equal(StatusCompleted))
	g.Expect(v.Failed).To(gomega.Equal(1))
}

func TestScheduler_FailsItemThatCrashesEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 2, time.Hour, true)
	ts.crash = api.CrashWithOthers
	crasher, _ := ts.takeItem("s1")
	bystander, _ := ts.takeItem("s1")
	ts.endAttempt(crasher, "s1", api.ResultUnknown, 0)
	ts.endAttempt(bystander, "s1", api.ResultUnknown, 0)
	ts.now = ts.now.Add(time.Minute)

	first, ok := ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeFalse(), "only one suspect runs at an endpoint at a time")
	second, ok := ts.takeItem("s3")
	g.Expect(ok).To(gomega.BeTrue())
	ts.crash = api.CrashAlone
	ts.endAttempt(first, "s2", api.ResultUnknown, 0)
	ts.endAttempt(second, "s3", api.ResultDone, 200)
	v := ts.view("j")
	g.Expect(v.Status).To(gomega.Equal(StatusCompleted))
	g.Expect(v.Failed).To(gomega.Equal(1))
	g.Expect(v.Completed).To(gomega.Equal(1))
}

func TestScheduler_ResumesPreemptedItem(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 1, time.Hour, true)
	for range 3 * MaxAttempts { // a preemption does not count as a failure
		work, ok := ts.takeItem("s1")
		g.Expect(ok).To(gomega.BeTrue())
		ts.endAttempt(work, "s1", api.ResultReturned, 0)
	}
	work, _ := ts.takeItem("s2")
	g.Expect(work.work.Resume).To(gomega.Equal(&api.Resume{Text: "so far", Tokens: 2}))
}

func TestScheduler_ReassignsItemMissingFromHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 2, time.Hour, true)
	reported, _ := ts.takeItem("s1")
	unreported, _ := ts.takeItem("s1")
	for range 6 {
		ts.now = ts.now.Add(HeartbeatInterval)
		g.Expect(ts.scheduler.heartbeat(ts.now, "s1", []api.WorkRef{reported.work.WorkRef})).To(gomega.BeEmpty())
		ts.replayFacts(ts.scheduler.tick(ts.now))
		g.Expect(ts.scheduler.table.Job("j").items[reported.work.Item].running).To(gomega.BeTrue())
	}
	again, ok := ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeTrue(), "the endpoint is alive, but no heartbeat names the item")
	g.Expect(again.work.Item).To(gomega.Equal(unreported.work.Item))
	g.Expect(ts.scheduler.table.Job("j").items[again.work.Item].crashes).To(gomega.BeZero())
	_, ok = ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestScheduler_ExpiresOverdueJob(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 2, time.Minute, true)
	work, _ := ts.takeItem("s1")
	ts.now = ts.now.Add(2 * time.Hour)
	ts.replayFacts(ts.scheduler.tick(ts.now))
	g.Expect(ts.view("j").Status).To(gomega.Equal(StatusExpired))
	_, ok := ts.takeItem("s1")
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(ts.scheduler.heartbeat(ts.now, "s1", []api.WorkRef{work.work.WorkRef})).To(gomega.HaveLen(1))
	ts.endAttempt(work, "s1", api.ResultDone, 200)
	g.Expect(ts.view("j").Completed).To(gomega.BeZero())
}

func TestScheduler_EarliestDueFirstAndFairByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("late", "a", 400, 2*time.Hour, true)
	ts.submitJob("soon", "a", 400, time.Hour, true)
	ts.submitJob("other", "b", 400, 3*time.Hour, true)
	fair := newFairQueue()
	weights := map[string]float64{"a": 1, "b": 3}
	got := make(map[string]int)
	for range 200 {
		candidates := ts.scheduler.candidates(ts.now, "d", "s1", true)
		c := candidates[fair.choose(candidates)]
		_, ok := ts.scheduler.assign(ts.now, c.job, "d", "s1", true)
		g.Expect(ok).To(gomega.BeTrue())
		fair.charge(c.customer, weights[c.customer], 1)
		got[c.job]++
	}
	g.Expect(got["late"]).To(gomega.BeZero())
	g.Expect(got["other"]).To(gomega.BeNumerically("~", 150, 1))
}

func TestWriter_BoundsPendingResults(t *testing.T) {
	g := gomega.NewWithT(t)
	w := writer{nonce: "w"}
	now := time.Unix(0, 0)
	added := 0
	for !w.full() {
		w.add([]fact{{Kind: factDone, body: make([]byte, MaxResultBytes)}})
		added++
	}
	g.Expect(added * MaxResultBytes).To(gomega.BeNumerically("<=", PendingBytes+MaxResultBytes))
	first, _ := w.nextGroup(now)
	none, _ := w.nextGroup(now.Add(time.Hour))
	g.Expect(none).To(gomega.BeNil(), "one group is in flight at a time")
	w.markStored(first)
	for stored := 1; stored < added; stored++ {
		now = now.Add(CommitInterval / 2)
		none, wait := w.nextGroup(now)
		g.Expect(none).To(gomega.BeNil())
		g.Expect(wait).To(gomega.Equal(CommitInterval / 2))
		now = now.Add(wait)
		group, _ := w.nextGroup(now)
		g.Expect(group).NotTo(gomega.BeNil())
		w.markStored(group)
	}
	g.Expect(w.pending).To(gomega.BeEmpty(), "all facts are in groups")
	g.Expect(w.full()).To(gomega.BeFalse())
}

// TestTable_ReplaysFromAnyOffset replays random facts from the start, and from an
// offset after which all that is still needed was renewed, and expects the same
// state.
func TestTable_ReplaysFromAnyOffset(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		inv := invariant.New(func(v invariant.Violation) { t.Error(v) })
		full := NewTable(inv)
		var records []infra.Record
		add := func(h *header) {
			o := infra.Offset(len(records) + 1)
			rec := infra.Record{Offset: o, ID: fmt.Sprint(o), Time: time.Unix(int64(o), 0), Data: encodeRecord(h)}
			records = append(records, rec)
			_ = full.Apply(rec)
		}
		const items = 12
		ts := newTestScheduler(t)
		ts.submitJob("j", "a", items, 1000*time.Hour, false)
		f, j := ts.scheduler.table.files["j"].fileRecord, ts.scheduler.table.jobs["j"].jobRecord
		f.Orig, j.Orig = 0, 0
		add(&header{File: &f, Job: &j})
		for range 60 {
			add(&header{Facts: []fact{randomFact(rnd, items)}})
			if rnd.IntN(12) != 0 {
				continue
			}
			now := time.Unix(int64(len(records)), 0)
			renewAll(full, infra.Offset(len(records)+1), now, add, records)
		}
		renewAll(full, infra.Offset(len(records)+1), time.Unix(1000, 0), add, records)
		start := len(records) - 20
		partial := NewTable(inv)
		partial.SetNext(infra.Offset(start + 1))
		for _, rec := range records[start:] {
			_ = partial.Apply(rec)
		}
		gomega.NewWithT(t).Expect(summary(partial)).To(gomega.Equal(summary(full)), "seed %d", seed)
	}
}

func randomFact(rnd *rand.Rand, items int) fact {
	kinds := []factKind{factDone, factDone, factDone, factBegin, factBegin, factRelease, factFailures}
	f := fact{
		Kind:    kinds[rnd.IntN(len(kinds))],
		Job:     "j",
		Item:    rnd.IntN(items),
		Attempt: fmt.Sprint(rnd.IntN(4)),
		Status:  200 + 300*rnd.IntN(2),
	}
	if rnd.IntN(40) == 0 {
		f.Kind = factCancel
	}
	return f
}

// renewAll appends everything of t below cutoff again, each result in a record of
// its own.
func renewAll(t *Table, cutoff infra.Offset, now time.Time, add func(*header), records []infra.Record) {
	plan := t.renewalPlan(cutoff, now)
	for i := range plan.headers {
		add(&plan.headers[i])
	}
	for at, results := range plan.results {
		h, _, _ := decodeRecord(records[at-1].Data)
		for _, res := range results {
			f := h.Facts[res.factIndex]
			f.Orig = res.origOffset
			add(&header{Facts: []fact{f}})
		}
	}
}

// summary returns the state of job j that callers and sidecars see.
func summary(t *Table) string {
	j := t.Job("j")
	if j == nil {
		return "no job"
	}
	s := fmt.Sprint(j.done, j.failed, j.endOffset)
	for i := range j.items {
		b, gen := j.currentBegin(i)
		s += fmt.Sprint("|", j.items[i].doneOffset, gen)
		if b != nil {
			s += b.attempt
		}
	}
	return s
}

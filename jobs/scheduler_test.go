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

// rig is an owner whose facts are replayed at once.
type rig struct {
	t     *testing.T
	now   time.Time
	next  infra.Offset
	owner *scheduler
	crash api.Crash // of endpoints that are lost
}

func newRig(t *testing.T) *rig {
	inv := invariant.New(func(v invariant.Violation) { t.Error(v) })
	r := &rig{t: t, now: time.Unix(1_000_000, 0), next: 1}
	r.owner = newScheduler(inv, NewTable(inv), "o")
	r.owner.table.MarkReplayed()
	return r
}

func (r *rig) apply(h *header) {
	record := infra.Record{Offset: r.next, ID: fmt.Sprint(r.next), Time: r.now, Data: encodeRecord(h)}
	if err := r.owner.table.Apply(record); err != nil {
		r.t.Fatal(err)
	}
	r.next++
}

// submit adds a job whose items are due after a time.
func (r *rig) submit(id, customer string, items int, due time.Duration, idempotent bool) {
	c := &chunkHeader{Upload: id}
	for i := range items {
		c.Items = append(c.Items, chunkItem{CustomID: fmt.Sprint(i)})
	}
	r.apply(&header{
		Chunk: c,
		File: &fileRecord{
			ID: id, Customer: customer, Upload: id, Items: items, FirstItems: []int{0},
			Targets: []target{{Deployment: "d", Idempotent: idempotent}}, Kept: r.now.Add(time.Hour),
		},
		Job: &jobRecord{
			ID: id, Customer: customer, File: id, Due: r.now.Add(due),
			Expires: r.now.Add(due + time.Hour), Kept: r.now.Add(due + 2*time.Hour),
		},
	})
}

// take hands out the next item to an endpoint.
func (r *rig) take(endpoint string) (assignment, bool) {
	candidates := r.owner.candidates(r.now, "d", endpoint, true)
	if len(candidates) == 0 {
		return assignment{}, false
	}
	return r.owner.assign(r.now, candidates[0].job, "d", endpoint, true)
}

// end reports the end of an attempt and replays what follows.
func (r *rig) end(t assignment, endpoint string, state api.ResultState, status int) {
	res := &api.Result{WorkRef: t.work.WorkRef, State: state, Status: status, Crash: r.crash, Resume: &api.Resume{Text: "so far", Tokens: 2}}
	r.replay(r.owner.report(r.now, endpoint, res))
}

func (r *rig) replay(facts []fact) {
	if len(facts) > 0 {
		r.apply(&header{Facts: facts})
	}
}

// result returns the state and code of an item's result.
func (r *rig) view(job string) View {
	return r.owner.table.Job(job).view()
}

func TestServerErrorsEndTheItem(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 1, time.Hour, true)
	for n := range MaxAttempts {
		work, ok := r.take("s1")
		g.Expect(ok).To(gomega.BeTrue(), "attempt %d", n)
		r.end(work, "s1", api.ResultDone, 500)
		r.now = r.now.Add(RetryDelay << (MaxAttempts + 1))
	}
	_, ok := r.take("s1")
	g.Expect(ok).To(gomega.BeFalse())
	v := r.view("j")
	g.Expect(v.Status).To(gomega.Equal(StatusCompleted))
	g.Expect(v.Failed).To(gomega.Equal(1))
}

func TestItemThatLosesEndpointsEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 2, time.Hour, true)
	r.crash = api.CrashWithOthers
	killer, _ := r.take("s1")
	innocent, _ := r.take("s1")
	r.end(killer, "s1", api.ResultUnknown, 0)
	r.end(innocent, "s1", api.ResultUnknown, 0)
	r.now = r.now.Add(time.Minute)

	first, ok := r.take("s2")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = r.take("s2")
	g.Expect(ok).To(gomega.BeFalse(), "two suspects never run at one endpoint")
	second, ok := r.take("s3")
	g.Expect(ok).To(gomega.BeTrue())
	r.crash = api.CrashAlone
	r.end(first, "s2", api.ResultUnknown, 0)
	r.end(second, "s3", api.ResultDone, 200)
	v := r.view("j")
	g.Expect(v.Status).To(gomega.Equal(StatusCompleted))
	g.Expect(v.Failed).To(gomega.Equal(1))
	g.Expect(v.Completed).To(gomega.Equal(1))
}

func TestPreemptedItemResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 1, time.Hour, true)
	for range 3 * MaxAttempts { // preemption is no failure
		work, ok := r.take("s1")
		g.Expect(ok).To(gomega.BeTrue())
		r.end(work, "s1", api.ResultReturned, 0)
	}
	work, _ := r.take("s2")
	g.Expect(work.work.Resume).To(gomega.Equal(&api.Resume{Text: "so far", Tokens: 2}))
}

func TestSilentSidecarsItemsRunElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 2, time.Hour, true)
	named, _ := r.take("s1")
	unnamed, _ := r.take("s1")
	for range 6 {
		r.now = r.now.Add(HeartbeatInterval)
		g.Expect(r.owner.heartbeat(r.now, "s1", []api.WorkRef{named.work.WorkRef})).To(gomega.BeEmpty())
		r.replay(r.owner.tick(r.now))
		g.Expect(r.owner.table.Job("j").items[named.work.Item].running).To(gomega.BeTrue())
	}
	again, ok := r.take("s2")
	g.Expect(ok).To(gomega.BeTrue(), "the endpoint lives but never got the item")
	g.Expect(again.work.Item).To(gomega.Equal(unnamed.work.Item))
	g.Expect(r.owner.table.Job("j").items[again.work.Item].crashes).To(gomega.BeZero())
	_, ok = r.take("s2")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestOverdueJobEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 2, time.Minute, true)
	work, _ := r.take("s1")
	r.now = r.now.Add(2 * time.Hour)
	r.replay(r.owner.tick(r.now))
	g.Expect(r.view("j").Status).To(gomega.Equal(StatusExpired))
	_, ok := r.take("s1")
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(r.owner.heartbeat(r.now, "s1", []api.WorkRef{work.work.WorkRef})).To(gomega.HaveLen(1))
	r.end(work, "s1", api.ResultDone, 200)
	g.Expect(r.view("j").Completed).To(gomega.BeZero())
}

func TestEarliestDueFirstAndFairByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("late", "a", 400, 2*time.Hour, true)
	r.submit("soon", "a", 400, time.Hour, true)
	r.submit("other", "b", 400, 3*time.Hour, true)
	fair := newFairQueue()
	weights := map[string]float64{"a": 1, "b": 3}
	got := make(map[string]int)
	for range 200 {
		candidates := r.owner.candidates(r.now, "d", "s1", true)
		c := candidates[fair.choose(candidates)]
		_, ok := r.owner.assign(r.now, c.job, "d", "s1", true)
		g.Expect(ok).To(gomega.BeTrue())
		fair.charge(c.customer, weights[c.customer], 1)
		got[c.job]++
	}
	g.Expect(got["late"]).To(gomega.BeZero())
	g.Expect(got["other"]).To(gomega.BeNumerically("~", 150, 1))
}

func TestResultsThatWaitForTheLogAreBounded(t *testing.T) {
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
	g.Expect(none).To(gomega.BeNil(), "one record at a time")
	w.markStored(first)
	for taken := 1; taken < added; taken++ {
		now = now.Add(CommitInterval / 2)
		none, wait := w.nextGroup(now)
		g.Expect(none).To(gomega.BeNil())
		g.Expect(wait).To(gomega.Equal(CommitInterval / 2))
		now = now.Add(wait)
		group, _ := w.nextGroup(now)
		g.Expect(group).NotTo(gomega.BeNil())
		w.markStored(group)
	}
	g.Expect(w.pending).To(gomega.BeEmpty(), "nothing is lost")
	g.Expect(w.full()).To(gomega.BeFalse())
}

// TestTableStartsAnywhere replays a random history from any point on, after
// what expired was carried, and finds the same state.
func TestTableStartsAnywhere(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		inv := invariant.New(func(v invariant.Violation) { t.Error(v) })
		whole := NewTable(inv)
		var records []infra.Record
		add := func(h *header) {
			o := infra.Offset(len(records) + 1)
			rec := infra.Record{Offset: o, ID: fmt.Sprint(o), Time: time.Unix(int64(o), 0), Data: encodeRecord(h)}
			records = append(records, rec)
			_ = whole.Apply(rec)
		}
		const items = 12
		r := newRig(t)
		r.submit("j", "a", items, 1000*time.Hour, false)
		f, j := r.owner.table.files["j"].fileRecord, r.owner.table.jobs["j"].jobRecord
		f.Orig, j.Orig = 0, 0
		add(&header{File: &f, Job: &j})
		for range 60 {
			add(&header{Facts: []fact{randomFact(rnd, items)}})
			if rnd.IntN(12) != 0 {
				continue
			}
			now := time.Unix(int64(len(records)), 0)
			carryAll(whole, infra.Offset(len(records)+1), now, add, records)
		}
		carryAll(whole, infra.Offset(len(records)+1), time.Unix(1000, 0), add, records)
		cut := len(records) - 20
		part := NewTable(inv)
		part.SetNext(infra.Offset(cut + 1))
		for _, rec := range records[cut:] {
			_ = part.Apply(rec)
		}
		gomega.NewWithT(t).Expect(summary(part)).To(gomega.Equal(summary(whole)), "seed %d", seed)
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

// carryAll carries everything below a cutoff, in one record each.
func carryAll(t *Table, cutoff infra.Offset, now time.Time, add func(*header), records []infra.Record) {
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

// summary is what callers and pullers see of job j.
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

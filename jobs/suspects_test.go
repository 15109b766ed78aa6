package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// TestScheduler_KeepsItemInFlightAtTwoCrashes guards against failing an item that
// was only in flight when two endpoints crashed because of other items. It must
// run alone and complete.
func TestScheduler_KeepsItemInFlightAtTwoCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 1, time.Hour, true)
	for _, endpoint := range []string{"s1", "s2"} {
		bystander, ok := ts.takeItem(endpoint)
		g.Expect(ok).To(gomega.BeTrue(), endpoint)
		ts.crash = api.CrashWithOthers
		ts.endAttempt(bystander, endpoint, api.ResultUnknown, 0)
		ts.now = ts.now.Add(time.Minute)
	}
	bystander, ok := ts.takeItem("s3")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(bystander.work.Suspect).To(gomega.BeTrue())
	ts.endAttempt(bystander, "s3", api.ResultDone, 200)
	g.Expect(ts.view("j").Failed).To(gomega.BeZero())
}

// TestScheduler_CountsRepeatedCrashReportOnce guards against counting a crash twice
// when the reply to the first report of it was lost and the sidecar repeats it.
func TestScheduler_CountsRepeatedCrashReportOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 1, time.Hour, true)
	work, _ := ts.takeItem("s1")
	ts.crash = api.CrashAlone
	ts.endAttempt(work, "s1", api.ResultUnknown, 0)
	ts.endAttempt(work, "s1", api.ResultUnknown, 0)
	g.Expect(ts.view("j").Failed).To(gomega.BeZero())
	g.Expect(ts.scheduler.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))

	// A heartbeat sent before the report arrives after it and names the attempt.
	ts.scheduler.heartbeat(ts.now, "s1", []api.WorkRef{work.work.WorkRef})
	ts.now = ts.now.Add(2 * AttemptTimeout)
	ts.replayFacts(ts.scheduler.tick(ts.now))
	g.Expect(ts.scheduler.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))
	g.Expect(ts.scheduler.lostAttempts).To(gomega.BeEmpty())
	ts.now = ts.now.Add(RetryDelay)
	_, ok := ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeTrue(), "it is assigned again")
}

// TestScheduler_AppliesQuarantineVerdicts checks that an item of quarantined content
// ends, and that one of suspect content runs at isolation endpoints only.
func TestScheduler_AppliesQuarantineVerdicts(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 2, time.Hour, true)
	d := quarantine.DigestOf("a", "/p", nil)

	quarantined, _ := ts.takeItem("s1")
	facts, ok := ts.scheduler.checkQuarantine(ts.now, &quarantined, d, quarantine.Quarantined, true)
	g.Expect(ok).To(gomega.BeFalse(), "it does not run")
	ts.replayFacts(facts)
	g.Expect(ts.view("j").Failed).To(gomega.Equal(1))

	suspect, _ := ts.takeItem("s1")
	_, ok = ts.scheduler.checkQuarantine(ts.now, &suspect, d, quarantine.Suspect, false)
	g.Expect(ok).To(gomega.BeFalse(), "it runs at isolation endpoints only")
	ts.now = ts.now.Add(RetryDelay)
	g.Expect(ts.scheduler.candidates(ts.now, "d", "s1", false)).To(gomega.BeEmpty())
	suspect, ok = ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = ts.scheduler.checkQuarantine(ts.now, &suspect, d, quarantine.Suspect, true)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(suspect.work.Suspect).To(gomega.BeTrue())
}

// crashRecorder is a quarantine.Tracker that keeps the crashes recorded in it.
type crashRecorder struct {
	quarantine.NopTracker
	crashes []quarantine.Crash
}

func (n *crashRecorder) RecordCrash(x quarantine.Crash) { n.crashes = append(n.crashes, x) }

// TestPartition_CountsCrashOfFormerOwnersAttempt guards against losing a crash that
// is reported to an owner that did not assign the item: quarantine and the failure
// counts must both include it.
func TestPartition_CountsCrashOfFormerOwnersAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitJob("j", "a", 1, time.Hour, true)
	recorder := new(crashRecorder)
	p := newPartition(NewService(Options{Self: "e", Suspects: recorder}), 0)
	p.scheduler = ts.scheduler
	d := quarantine.DigestOf("a", "/p", nil)
	result := api.Result{
		WorkRef: api.WorkRef{Job: "j", Attempt: "of the former owner"},
		State:   api.ResultUnknown,
		Crash:   api.CrashAlone,
		Digest:  api.Digest(d),
	}
	p.notifyQuarantine("s1", []api.Result{result})
	g.Expect(recorder.crashes).To(gomega.Equal([]quarantine.Crash{{
		Digest: d, Customer: "a", Attempt: result.Attempt, Endpoint: "s1", Kind: api.CrashAlone,
	}}))
	ts.replayFacts(ts.scheduler.report(ts.now, "s1", &result))
	g.Expect(ts.scheduler.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))
}

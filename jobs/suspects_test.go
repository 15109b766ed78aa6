package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// TestInnocentBesideTwoCrashers has an item in flight at two endpoints that
// different other items crash.
func TestInnocentBesideTwoCrashers(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 1, time.Hour, true)
	for _, endpoint := range []string{"s1", "s2"} {
		innocent, ok := r.take(endpoint)
		g.Expect(ok).To(gomega.BeTrue(), endpoint)
		r.crash = api.CrashWithOthers
		r.end(innocent, endpoint, api.ResultUnknown, 0)
		r.now = r.now.Add(time.Minute)
	}
	innocent, ok := r.take("s3")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(innocent.work.Suspect).To(gomega.BeTrue())
	r.end(innocent, "s3", api.ResultDone, 200)
	g.Expect(r.view("j").Failed).To(gomega.BeZero())
}

// TestReportedAgainCountsOnce has a sidecar report a crash again, as the
// answer to its first report was lost.
func TestReportedAgainCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 1, time.Hour, true)
	work, _ := r.take("s1")
	r.crash = api.CrashAlone
	r.end(work, "s1", api.ResultUnknown, 0)
	r.end(work, "s1", api.ResultUnknown, 0)
	g.Expect(r.view("j").Failed).To(gomega.BeZero())
	g.Expect(r.owner.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))

	// A heartbeat that was under way names it once more.
	r.owner.heartbeat(r.now, "s1", []api.WorkRef{work.work.WorkRef})
	r.now = r.now.Add(2 * AttemptTimeout)
	r.replay(r.owner.tick(r.now))
	g.Expect(r.owner.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))
	g.Expect(r.owner.lostAttempts).To(gomega.BeEmpty())
	r.now = r.now.Add(RetryDelay)
	_, ok := r.take("s2")
	g.Expect(ok).To(gomega.BeTrue(), "it is handed out again")
}

// TestVerdictsOnItems has items whose content is known to the quarantine.
func TestVerdictsOnItems(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 2, time.Hour, true)
	d := quarantine.DigestOf("a", "/p", nil)

	condemned, _ := r.take("s1")
	facts, ok := r.owner.checkQuarantine(r.now, &condemned, d, quarantine.Quarantined, true)
	g.Expect(ok).To(gomega.BeFalse(), "it does not run")
	r.replay(facts)
	g.Expect(r.view("j").Failed).To(gomega.Equal(1))

	suspect, _ := r.take("s1")
	_, ok = r.owner.checkQuarantine(r.now, &suspect, d, quarantine.Suspect, false)
	g.Expect(ok).To(gomega.BeFalse(), "it runs at isolation endpoints only")
	r.now = r.now.Add(RetryDelay)
	g.Expect(r.owner.candidates(r.now, "d", "s1", false)).To(gomega.BeEmpty())
	suspect, ok = r.take("s2")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = r.owner.checkQuarantine(r.now, &suspect, d, quarantine.Suspect, true)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(suspect.work.Suspect).To(gomega.BeTrue())
}

// noted is a Suspects that keeps the deaths it is told of.
type noted struct {
	quarantine.NopTracker
	deaths []quarantine.Crash
}

func (n *noted) RecordCrash(x quarantine.Crash) { n.deaths = append(n.deaths, x) }

// TestNewOwnerCountsCrashesOfItsPredecessor reports a crash to an owner that
// did not hand out the item.
func TestNewOwnerCountsCrashesOfItsPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.submit("j", "a", 1, time.Hour, true)
	known := new(noted)
	p := newPartition(NewService(Options{Self: "e", Suspects: known}), 0)
	p.scheduler = r.owner
	d := quarantine.DigestOf("a", "/p", nil)
	result := api.Result{
		WorkRef: api.WorkRef{Job: "j", Attempt: "of the former owner"},
		State:   api.ResultUnknown,
		Crash:   api.CrashAlone,
		Digest:  api.Digest(d),
	}
	p.notifyQuarantine("s1", []api.Result{result})
	g.Expect(known.deaths).To(gomega.Equal([]quarantine.Crash{{
		Digest: d, Customer: "a", Attempt: result.Attempt, Endpoint: "s1", Kind: api.CrashAlone,
	}}))
	r.replay(r.owner.report(r.now, "s1", &result))
	g.Expect(r.owner.table.Job("j").items[0].crashes).To(gomega.BeEquivalentTo(1))
}

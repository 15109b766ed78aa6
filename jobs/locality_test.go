package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/locality"
	"dandelionrelay/quarantine"
)

// submitRoutes adds a job whose items alternate between the given routes.
func (ts *testScheduler) submitRoutes(id string, items int, routes ...string) {
	c := &chunkHeader{Upload: id}
	for i := range items {
		c.Items = append(c.Items, chunkItem{CustomID: id, Target: i % len(routes)})
	}
	f := &fileRecord{ID: id, Customer: "a", Upload: id, Items: items, FirstItems: []int{0}, Kept: ts.now.Add(time.Hour)}
	for _, r := range routes {
		f.Targets = append(f.Targets, target{Deployment: "d", Path: "/" + r, Idempotent: r != "once", Route: r})
	}
	ts.apply(&header{Chunk: c, File: f, Job: &jobRecord{
		ID: id, Customer: "a", File: id, Due: ts.now.Add(time.Hour),
		Expires: ts.now.Add(2 * time.Hour), Kept: ts.now.Add(3 * time.Hour),
	}})
}

// Guards against items that are assigned outside the homes of their route, and against
// items of one route that hold back those of another or are assigned out of order.
func TestScheduler_AssignsItemsWithinHomes(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.scheduler.permits = func(endpoint, _ string, key backlogKey) bool { return key.route == "any" || endpoint == "eu-endpoint" }
	ts.submitRoutes("j", 6, "eu-only", "any")
	var us, eu []int
	for range 3 {
		a, ok := ts.takeItem("us-endpoint")
		g.Expect(ok).To(gomega.BeTrue())
		us = append(us, a.work.Item)
	}
	g.Expect(us).To(gomega.Equal([]int{1, 3, 5}))
	_, ok := ts.takeItem("us-endpoint")
	g.Expect(ok).To(gomega.BeFalse(), "the other items may not run there")
	for range 3 {
		a, ok := ts.takeItem("eu-endpoint")
		g.Expect(ok).To(gomega.BeTrue())
		eu = append(eu, a.work.Item)
		if len(eu) == 1 { // a returned item is due again, only where it may run
			ts.endAttempt(a, "eu-endpoint", api.ResultReturned, 0)
			_, ok = ts.takeItem("us-endpoint")
			g.Expect(ok).To(gomega.BeFalse())
		}
	}
	g.Expect(eu).To(gomega.Equal([]int{0, 0, 2}))
}

// Guards against running items that stay in an evacuated data centre, and against items
// that may not run twice and are stopped there, which would end them as unknown.
func TestScheduler_MovesIdempotentItems(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := newTestScheduler(t)
	ts.submitRoutes("j", 2, "any", "once")
	movable, _ := ts.takeItem("s1")
	fixed := api.WorkRef{Job: "j", Item: 1, Attempt: "x"}
	g.Expect(ts.scheduler.movable([]api.WorkRef{movable.work.WorkRef, fixed, {Job: "unknown"}})).
		To(gomega.Equal([]api.WorkRef{movable.work.WorkRef}))
	ts.endAttempt(movable, "s1", api.ResultReturned, 0)
	again, ok := ts.takeItem("s2")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(again.work.Item).To(gomega.Equal(movable.work.Item))
	g.Expect(again.work.Resume).To(gomega.Equal(&api.Resume{Text: "so far", Tokens: 2}))
}

// Guards against items for endpoints of an evacuated data centre, and against memory that
// grows with every endpoint that ever pulled.
func TestService_EvacuatedEndpointGetsNoItems(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := locality.NewPolicy(nil, map[string]bool{"dc-1": true})
	s := NewService(Options{CheckLocality: func(_, _, _, dataCentre string) locality.Verdict { return policy.Check(dataCentre) }})
	g.Expect(s.evacuated("dc-1")).To(gomega.BeTrue())
	g.Expect(s.evacuated("dc-2")).To(gomega.BeFalse())
	s.locations.record("s1", "dc-1", time.Unix(1000, 0))
	s.locations.record("s2", "dc-2", time.Unix(1000, 0))
	g.Expect(s.permits("s1", "a", backlogKey{"d", "r"})).To(gomega.BeFalse())
	g.Expect(s.permits("s2", "a", backlogKey{"d", "r"})).To(gomega.BeTrue())
	s.locations.record("s2", "dc-2", time.Unix(1000, 0).Add(3*AttemptTimeout))
	g.Expect(s.locations.of("s1")).To(gomega.BeEmpty(), "endpoints that are gone are forgotten")
}

// Guards against a suspect that never runs, as the isolation endpoints of its deployment
// are outside its homes.
func TestService_SuspectsAreIsolatedWithinTheirHomes(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := locality.NewPolicy(locality.Regions{"north-1": "north", "south-1": "south"}, nil)
	homes := map[string]locality.Homes{"at-home": {"north"}}
	s := NewService(Options{CheckLocality: func(_, _, route, dataCentre string) locality.Verdict {
		return policy.Check(dataCentre, homes[route])
	}})
	now := time.Now()
	var general, north string // isolation endpoints of all four, and of the two in the north
	for _, dataCentre := range []string{"south-1", "north-1"} {
		for _, id := range []string{"a", "b"} {
			s.locations.record(dataCentre+id, dataCentre, now)
			s.pullers.record("d", dataCentre+id, now)
		}
	}
	for _, id := range []string{"south-1a", "south-1b", "north-1a", "north-1b"} {
		if s.pullers.record("d", id, now) {
			general = id
		}
		if s.isolates(id, "c", backlogKey{"d", "at-home"}) {
			g.Expect(north).To(gomega.BeEmpty(), "one of two")
			north = id
		}
		g.Expect(s.isolates(id, "c", backlogKey{"d", "anywhere"})).To(gomega.Equal(general == id))
	}
	g.Expect(north).To(gomega.HavePrefix("north-1"))

	ts := newTestScheduler(t)
	ts.scheduler.permits, ts.scheduler.isolates = s.permits, s.isolates
	ts.submitRoutes("j", 1, "at-home")
	ts.scheduler.table.Job("j").items[0].crashes = 1
	candidates := ts.scheduler.candidates(ts.now, "d", north, false)
	g.Expect(candidates).To(gomega.HaveLen(1))
	a, ok := ts.scheduler.assign(ts.now, "j", "d", north, false)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = ts.scheduler.checkQuarantine(ts.now, &a, quarantine.DigestOf("a", "/p", nil), quarantine.Suspect, false)
	g.Expect(ok).To(gomega.BeTrue())
}

// Guards against items of earlier releases, whose records name no route, that run outside the
// homes of the routes to their deployment.
func TestScheduler_ItemsWithoutRouteAreBoundByTheirDeployment(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewService(Options{CheckLocality: func(_, deployment, route, dataCentre string) locality.Verdict {
		if deployment == "d" && route == "" && dataCentre != "north-1" {
			return locality.OutsideHomes
		}
		return locality.Allowed
	}})
	for _, dataCentre := range []string{"south-1", "north-1"} {
		s.locations.record(dataCentre, dataCentre, time.Now())
	}
	ts := newTestScheduler(t)
	ts.scheduler.permits = s.permits
	ts.submitRoutes("j", 1, "")
	_, ok := ts.takeItem("south-1")
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = ts.takeItem("north-1")
	g.Expect(ok).To(gomega.BeTrue())
}

package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

// recordingTransport counts the requests, other than probes, by the data centre that they
// are sent to.
type recordingTransport struct {
	http.RoundTripper
	dataCentres map[string]string // by address

	mu   sync.Mutex
	sent map[string]int
}

// RoundTrip implements http.RoundTripper.
func (r *recordingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.URL.Path != ProbePath {
		r.mu.Lock()
		r.sent[r.dataCentres[q.URL.Host]]++
		r.mu.Unlock()
	}
	return r.RoundTripper.RoundTrip(q)
}

// take returns the requests by data centre since the last call.
func (r *recordingTransport) take() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.sent
	r.sent = make(map[string]int)
	return sent
}

// localityFixture is an entry in dc0 of a fleet of three data centres, with a policy that
// a test changes.
type localityFixture struct {
	fleet      *testFleet
	dispatcher *Dispatcher
	transport  *recordingTransport
	policy     atomic.Pointer[locality.Policy]
	homes      locality.Homes
	calls      int
}

func newLocalityFixture(t *testing.T, faults ...fault) *localityFixture {
	f := &localityFixture{fleet: newTestFleet(t, 1, 12, faults...)}
	f.dispatcher = f.fleet.entry("e", sharedSuspects{quarantine.NewTable()})
	f.transport = &recordingTransport{RoundTripper: f.dispatcher.transport, dataCentres: make(map[string]string), sent: make(map[string]int)}
	for _, m := range f.fleet.members {
		f.transport.dataCentres[m.HTTPAddr] = m.DataCentre
	}
	f.dispatcher.transport = f.transport
	f.dispatcher.checkLocality = func(_ *pipeline.Call, dataCentre string) locality.Verdict {
		return f.policy.Load().Check(dataCentre, f.homes)
	}
	return f
}

// evacuate evacuates exactly the given data centres.
func (f *localityFixture) evacuate(dataCentres ...string) {
	evacuated := make(map[string]bool)
	for _, d := range dataCentres {
		evacuated[d] = true
	}
	f.policy.Store(locality.NewPolicy(locality.Regions{"dc0": "eu", "dc1": "eu", "dc2": "us"}, evacuated))
}

// send sends n calls and returns the number that were answered in full.
func (f *localityFixture) send(n int) (complete int) {
	for range n {
		f.calls++
		q := testCall{id: fmt.Sprint("r", f.calls), text: fmt.Sprint("text", f.calls), stream: true, idempotent: true, resume: true}
		if text, _ := f.fleet.send(f.dispatcher, q).text(); text == fullText(q.text) {
			complete++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return complete
}

// Guards against requests, retries and continued streams that reach an evacuated data
// centre, and against one that stays unused after its evacuation.
func TestDispatcher_EvacuatedDataCentreGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newLocalityFixture(t, abortedStream, refuse)
		f.fleet.faultRate = RetryFraction
		f.evacuate()
		f.send(100)
		g.Expect(f.transport.take()).To(gomega.HaveKey("dc0"))

		f.evacuate("dc0", "dc2")
		complete := f.send(200)
		sent := f.transport.take()
		g.Expect(sent).To(gomega.HaveLen(1), "sent %v", sent)
		g.Expect(sent["dc1"]).To(gomega.BeNumerically(">", 200), "no call was sent again")
		g.Expect(complete).To(gomega.BeNumerically(">=", 180))

		f.evacuate("dc1")
		f.send(100)
		sent = f.transport.take()
		g.Expect(sent).To(gomega.HaveKey("dc0"))
		g.Expect(sent).NotTo(gomega.HaveKey("dc1"))
		time.Sleep(2 * time.Minute) // until the handlers of hanging requests have returned
	})
}

// Guards against load that is spread over few endpoints of another data centre while that
// of the entry is evacuated: the sample of remote endpoints is of one.
func TestDispatcher_SpreadsLoadOfEvacuatedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newLocalityFixture(t)
	f.evacuate("dc0")
	call, _ := newCall("{}")
	subset := (&forwarder{dispatcher: f.dispatcher, call: call}).subset()
	g.Expect(subset.Remote).To(gomega.BeEmpty())
	g.Expect(subset.Local).To(gomega.HaveLen(8), "all endpoints of the other data centres are compared like local ones")
	f.evacuate("dc1")
	subset = (&forwarder{dispatcher: f.dispatcher, call: call}).subset()
	g.Expect(subset.Local).To(gomega.HaveLen(4))
	g.Expect(subset.Remote).To(gomega.HaveLen(4))
}

// Guards against requests, suspects among them, that reach a region that is not a home.
func TestDispatcher_CallsStayInTheirHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newLocalityFixture(t, abortedStream, refuse)
		f.fleet.faultRate = RetryFraction
		f.evacuate()
		f.homes = locality.Homes{"us"}
		f.send(100)
		g.Expect(f.transport.take()).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("dc2")))

		call, _ := newCall("{}")
		for _, i := range (&forwarder{dispatcher: f.dispatcher, call: call, suspect: true}).subset().Local {
			g.Expect(i.DataCentre).To(gomega.Equal("dc2"))
		}
		time.Sleep(2 * time.Minute)
	})
}

// Guards against calls that wait, or that are reported as possibly run, when no data
// centre is left, and against a Retry-After that has callers return at once.
func TestDispatcher_RefusesAtOnceIfNoDataCentreIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newLocalityFixture(t)
		refused := func() *api.Error {
			began := time.Now()
			result := f.fleet.send(f.dispatcher, testCall{id: "r", text: "text", stream: true, idempotent: true, resume: true})
			g.Expect(time.Since(began)).To(gomega.BeZero())
			g.Expect(result.err).NotTo(gomega.BeNil())
			return result.err
		}
		f.evacuate("dc0", "dc1", "dc2")
		e := refused()
		g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(e.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(e.RetryAfter).To(gomega.Equal(locality.RetryAfter))
		g.Expect(e.Code).To(gomega.Equal(api.CodeEvacuated))

		f.evacuate("dc2")
		f.homes = locality.Homes{"us"}
		g.Expect(refused().Code).To(gomega.Equal(api.CodeEvacuated), "the home is evacuated")
		f.homes = locality.Homes{"asia"}
		g.Expect(refused().Code).To(gomega.Equal(api.CodeOutsideHomes))
		g.Expect(f.transport.take()).To(gomega.BeEmpty())
	})
}

// Guards against an entry that does not know of an evacuation and keeps asking sidecars
// that do, until its retries are used up.
func TestDispatcher_LeavesSidecarsThatRefuseAsEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	var refusals atomic.Int64
	serve := func(id string, refuse bool) infra.Instance {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
			if refuse {
				refusals.Add(1)
				api.WriteError(w, api.NewError(http.StatusServiceUnavailable, api.CodeEvacuated, "evacuated"))
			}
		}))
		t.Cleanup(server.Close)
		return sidecarAt(server.URL, id)
	}
	d := New(Deps{Members: membership.Static{serve("s1", true), serve("s2", true), serve("s3", false)}})
	for range 50 {
		c, _ := newCall("{}")
		g.Expect(d.Handle(t.Context(), c)).To(gomega.BeNil())
	}
	g.Expect(refusals.Load()).To(gomega.BeNumerically("<=", 2))
}

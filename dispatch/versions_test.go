package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// breakRate is the share of the runs that break off: as many as the retry budget allows for.
const breakRate = RetryFraction

// Endpoints of two versions break streams off. The entry has most of them continued, by
// endpoints of the version that began them, and once it has heard from all endpoints it
// asks no other.
func TestDispatcher_ContinuesStreamsAtTheirVersion(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				fleet := newTestFleet(t, seed, 8, abortedStream)
				fleet.faultRate = breakRate
				fleet.versions = make(map[string]string)
				for i, m := range fleet.members {
					fleet.versions[m.ID] = fmt.Sprint("v", i%2)
				}
				d := fleet.entry("e", sharedSuspects{quarantine.NewTable()})
				send := func(from, to int) (complete int) {
					for i := from; i < to; i++ {
						q := testCall{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: true, idempotent: true, resume: true}
						if text, _ := fleet.send(d, q).text(); text == fullText(q.text) {
							complete++
						}
						time.Sleep(100 * time.Millisecond)
					}
					return complete
				}
				send(0, 200)
				refused := fleet.otherVersions
				const n = 100.0
				complete := send(200, 200+int(n))
				g.Expect(fleet.otherVersions-refused).To(gomega.BeZero(), "sent to another version")
				g.Expect(complete).To(gomega.BeNumerically(">=", n*(1-breakRate/2)), "half of the streams that break off go on")
				time.Sleep(2 * time.Minute) // until the handlers of hanging requests have returned
			})
		})
	}
}

// A caller sends a text to go on with. Without its version, or with one that no endpoint
// has, the error says so, also once the entry knows the versions of all endpoints.
func TestDispatcher_SaysWhyATextIsNotContinued(t *testing.T) {
	for version, want := range map[string]api.Code{"": api.CodeVersionUnknown, "v9": api.CodeVersionGone, "v1": ""} {
		t.Run("version "+version, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				fleet := newTestFleet(t, 1, 4)
				fleet.faultRate = 0
				fleet.versions = make(map[string]string)
				for i, m := range fleet.members {
					fleet.versions[m.ID] = fmt.Sprint("v", i%2)
				}
				d := fleet.entry("e", sharedSuspects{quarantine.NewTable()})
				var calls sync.WaitGroup
				for i := range 100 { // at the same time, so that all endpoints get some
					calls.Go(func() {
						fleet.send(d, testCall{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: true, idempotent: true, resume: true})
					})
				}
				calls.Wait()
				from := &api.Resume{Text: "text-0 ", Tokens: 1, Version: version}
				result := fleet.send(d, testCall{id: "last", text: "text", stream: true, idempotent: true, resume: true, from: from})
				if want == "" {
					g.Expect(result.err).To(gomega.BeNil())
					return
				}
				g.Expect(result.err).NotTo(gomega.BeNil())
				g.Expect(result.err.Code).To(gomega.Equal(want))
				g.Expect(result.err.Outcome).To(gomega.Equal(api.NotRun))
			})
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

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

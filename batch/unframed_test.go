package batch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/streams"
)

// Responses with neither a length nor chunks end with their connections. A run that ends
// inside an event, or without a new event, has not completed the item.
func TestRunner_UnframedResponses(t *testing.T) {
	for name, behaviours := range map[string][]streams.Behaviour{
		"complete":              {{Unframed: true}},
		"ends inside an event":  {{Unframed: true, EndAfter: 2}, {Unframed: true}},
		"ends after the header": {{Unframed: true, EndAfter: -1}, {Unframed: true}},
		"goes on with a run that ends after the header": {{Unframed: true, EndAfter: 2}, {Unframed: true, EndAfter: -1}, {Unframed: true}},
		// All events have come, but not the end: the item begins again.
		"only the end is missing": {{AbortAfter: 5}, {Unframed: true, EndAfter: -1}, {Unframed: true, EndAfter: -1}, {Unframed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ep := newEndpoint("w", 5, 8)
				ep.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour {
					return behaviours[min(n, len(behaviours))-1]
				}
				f := newTestFleet(t, 1, ep)
				f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
				page := f.awaitResults(f.entries[0], "j", 20*time.Second)
				f.Expect(page.Results[0].State).To(gomega.Equal(Completed))
				f.Expect(string(page.Results[0].Output)).To(gomega.Equal(ep.Output(page.Results[0].Item)))
				f.Expect(ep.Runs()).To(gomega.HaveLen(len(behaviours)))
			})
		})
	}
}

// An endpoint sends events without end. The item does not fill the memory: the run ends,
// and the item begins again at another endpoint.
func TestRunner_EndlessEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 5, 8)
		ep.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour { return streams.Behaviour{Endless: n == 1} }
		f := newTestFleet(t, 1, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		page := f.awaitResults(f.entries[0], "j", 20*time.Minute)
		f.Expect(string(page.Results[0].Output)).To(gomega.Equal(ep.Output(page.Results[0].Item)))
		f.Expect(ep.Runs()).To(gomega.HaveLen(2))
	})
}

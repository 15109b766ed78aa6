package batch

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/streams"
)

// An endpoint refuses an item, and writes the refusal once more when the item is sent again
// over the same connection. The item runs once.
func TestRunner_RefusalWrittenOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusedOn := ""
		ep := newEndpoint("w", 30, 8)
		ep.BehaviourFor = func(r *http.Request, n int) streams.Behaviour {
			connection := streams.Connection(r)
			switch {
			case n == 1:
				refusedOn = connection
				return streams.Behaviour{NotRun: true, Status: http.StatusServiceUnavailable}
			case connection == refusedOn:
				return streams.Behaviour{Before: streams.Refusal(r.Header.Get(streams.HeaderID))}
			}
			return streams.Behaviour{}
		}
		f := newTestFleet(t, 1, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		page := f.awaitResults(f.entries[0], "j", 20*time.Second)
		f.Expect(string(page.Results[0].Output)).To(gomega.Equal(ep.Output(page.Results[0].Item)))
		f.Expect(ep.Runs()).To(gomega.HaveLen(1))
		f.Expect(ep.Received()).To(gomega.Equal(2))
	})
}

// An endpoint's error stands in the body of an item's stream. Nothing of it gets into the
// item's output, which is complete in the end.
func TestRunner_ErrorInsideOutput(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n"
	for i, b := range []streams.Behaviour{
		{Insert: head}, {Insert: head, InsertAfter: 3}, {Insert: head, InsertAfter: 3, EndAfterInsert: true},
		{Insert: "data: failed\n\n"}, {Insert: "data: failed\n\n", InsertAfter: 3, EndAfterInsert: true},
		{Insert: "data: failed\n\n", InsertAfter: 6},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ep := newEndpoint("w", 6, 8)
				ep.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour {
					if n == 1 {
						return b
					}
					return streams.Behaviour{}
				}
				f := newTestFleet(t, 1, ep)
				f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
				page := f.awaitResults(f.entries[0], "j", 20*time.Second)
				f.Expect(page.Results[0].State).To(gomega.Equal(Completed))
				f.Expect(string(page.Results[0].Output)).To(gomega.Equal(ep.Output(page.Results[0].Item)))
			})
		})
	}
}

package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/engine"
)

// An engine writes an error into the stream of an item, and then the end. The item isn't
// completed with the part of its text that came before.
func TestBatch_ErrorInsideStreamIsNoEnd(t *testing.T) {
	for name, text := range map[string]string{
		"event":       "data: {\"error\":{\"message\":\"failed\"}}\n\ndata: [DONE]\n\n",
		"named event": "event: error\ndata: {\"message\":\"failed\"}\n\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				e, owner := newEngine(t, engine.Options{}), newFakeOwner()
				var failed atomic.Bool
				endpoint := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/v1/") && failed.CompareAndSwap(false, true) {
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = io.WriteString(w, text)
						return
					}
					e.ServeHTTP(w, r)
				})
				f := newFixture(t, endpoint, modelDeployment(1), withBatch(owner))
				req := chat("ledger", 20)
				owner.add(work(0, req))
				f.runBatch()
				eventually(t, "item completes", func() bool { return owner.completedCount() == 1 })
				final, _ := owner.final(0)
				g.Expect(batchText(t, final)).To(gomega.Equal(engine.ResponseText(&req, 20)))
			})
		})
	}
}

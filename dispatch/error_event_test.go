package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/quarantine"
)

// Endpoints write errors into streams that have begun, or respond with an error that has the
// content type of a stream. Nothing of it reaches callers in the middle of their streams, and
// no stream ends as complete that isn't.
func TestDispatcher_ErrorInsideStream(t *testing.T) {
	for _, injected := range [][]fault{{errorEvent}, {namedErrorEvent}, {errorStream, abortedStream}} {
		t.Run(string(injected[0]), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				fleet := newTestFleet(t, 1, 4, injected...)
				fleet.faultRate = 0.3
				d := fleet.entry("e", sharedSuspects{quarantine.NewTable()})
				complete := 0
				for i := range 100 {
					q := testCall{id: fmt.Sprint("r", i), text: fmt.Sprint("text", i), stream: true, idempotent: true, resume: true}
					result := fleet.send(d, q)
					if result.status != http.StatusOK {
						g.Expect(injected).To(gomega.ContainElement(errorStream))
						g.Expect(result.status).To(gomega.Equal(http.StatusInternalServerError))
						g.Expect(result.body).To(gomega.Equal("data: {\"message\":\"failed\"}\n\n"), "the endpoint's own response, whole")
						continue
					}
					text, code := result.text()
					g.Expect(fullText(q.text)).To(gomega.HavePrefix(text))
					g.Expect(result.body).NotTo(gomega.ContainSubstring("failed"), "the endpoint's error")
					if result.err == nil && !result.aborted {
						g.Expect(text).To(gomega.Equal(fullText(q.text)))
						g.Expect(strings.Count(result.body, "[DONE]")).To(gomega.Equal(1))
						complete++
					} else {
						g.Expect(result.body).NotTo(gomega.ContainSubstring("[DONE]"))
						g.Expect(code != "" || result.body == "").To(gomega.BeTrue())
					}
					time.Sleep(100 * time.Millisecond)
				}
				g.Expect(complete).To(gomega.BeNumerically(">", 50))
			})
		})
	}
}

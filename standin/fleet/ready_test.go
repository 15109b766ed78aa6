package fleet_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/invariant"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

// TestFleet_ReadyEntryServesRequests guards against entries that report ready before
// they can serve: each new entry gets a request as soon as it is ready.
func TestFleet_ReadyEntryServesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, err := fleet.New(t.Context(), fleet.Options{
			Network:     fleet.NewMemoryNetwork(),
			State:       state(),
			ListLag:     time.Second,
			Engine:      engine.Options{Model: "m"},
			OnViolation: func(v invariant.Violation) { t.Error(v) },
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		_, _, err = f.AddEngine("assistant")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		for range 3 {
			e, err := f.AddEntry()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e.AwaitReady(t.Context())).To(Succeed())
			resp := chat(g, f, e.URL(), key, "beans?")
			resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})
}

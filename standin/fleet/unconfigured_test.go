package fleet_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/standin/fleet"
	standin "dandelionrelay/standin/platform"
)

// TestFleet_EntryWithoutConfigurationRejectsAsUnavailable guards against an entry that
// rejects valid keys as unknown because it has no configuration: it is started while
// neither the log nor a peer can be reached.
func TestFleet_EntryWithoutConfigurationRejectsAsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, err := fleet.New(t.Context(), fleet.Options{
			Network:     fleet.NewMemoryNetwork(),
			State:       state(),
			OnViolation: func(v invariant.Violation) { t.Error(v) },
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		f.Log.SetFaults(standin.Faults{Down: true})
		e, err := f.AddEntry()
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		resp := chat(g, f, e.URL(), key, "beans?")
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get(api.HeaderOutcome)).To(Equal(string(api.NotRun)))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
}

package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Callers refused at the same time that are told the same wait return together and are
// refused again: each is told a later token. Each refusal is counted.
func TestGateway_RefusedCallersAreToldDifferentTimes(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	for r.limits.Admit(r.now, "garden").Admitted {
	}
	var last time.Duration
	for range 5 {
		err := r.serve("/keyed/x", "key")
		r.Expect(err.Status).To(gomega.Equal(http.StatusTooManyRequests))
		r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", last))
		last = err.RetryAfter
	}
	r.Expect(testutil.ToFloat64(r.rateRefusals.WithLabelValues("nothing"))).To(gomega.BeEquivalentTo(5))
}

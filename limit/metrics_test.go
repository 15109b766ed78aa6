package limit

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// refusals returns the refusals that an entry counted, by the label shares.
func refusals(t *testing.T, s *Service) map[string]float64 {
	reg := prometheus.NewRegistry()
	reg.MustRegister(s.metrics.refusals)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			out[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return out
}

func TestRefusals_AreCountedBySharesThatReplied(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		admitted := f.burst("a", 100)
		g.Expect(refusals(f.t, f.entries["a"].Service)).To(gomega.Equal(map[string]float64{"all": float64(100 - admitted), "some": 0, "none": 0}))
		f.unreachable["b a"], f.unreachable["b c"] = true, true
		f.entries["b"].Pool.Close()
		admitted = f.burst("b", 100)
		seen := refusals(f.t, f.entries["b"].Service)
		g.Expect(seen["all"]).To(gomega.BeZero())
		g.Expect(seen["some"] + seen["none"]).To(gomega.BeEquivalentTo(100 - admitted))
	})
}

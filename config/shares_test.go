package config

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

func splitRoute(shares ...WeightedShare) Route {
	return Route{Deployment: shares[0].Deployment, Provided: &ProvidedRoute{Split: shares}}
}

// Guards against a split that sends requests elsewhere than by its weights, in the first place
// or in the next ones.
func TestRoute_DeploymentOrderFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := splitRoute(WeightedShare{"a", 6}, WeightedShare{"none", 0}, WeightedShare{"b", 3}, WeightedShare{"c", 1})
	const n = 20_000
	first, second := make(map[string]int), make(map[string]int)
	for range n {
		order := r.DeploymentOrder(func(string) float64 { return random.Float64() })
		g.Expect(order).To(gomega.ConsistOf("a", "b", "c"))
		first[order[0]]++
		if order[0] == "a" {
			second[order[1]]++
		}
	}
	g.Expect(float64(first["a"]) / n).To(gomega.BeNumerically("~", 0.6, 0.02))
	g.Expect(float64(first["b"]) / n).To(gomega.BeNumerically("~", 0.3, 0.02))
	g.Expect(float64(second["b"]) / float64(first["a"])).To(gomega.BeNumerically("~", 0.75, 0.02))
}

// Guards against routes that lead nowhere: without a split, or with one whose weights are 0.
func TestRoute_DeploymentsWithoutWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []Route{{Deployment: "a"}, splitRoute(WeightedShare{"a", 0}, WeightedShare{"b", 0})} {
		g.Expect(r.Deployments()).To(gomega.Equal([]string{"a"}))
		g.Expect(r.DeploymentOrder(func(string) float64 { return 0 })).To(gomega.Equal([]string{"a"}))
	}
}

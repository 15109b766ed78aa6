package config

import (
	"cmp"
	"math"
	"slices"
)

// Shares returns the deployments to which a route leads, with their weights, which are
// positive. A route without a split leads to one deployment.
func (r Route) Shares() []WeightedShare {
	var shares []WeightedShare
	if r.Provided != nil {
		for _, s := range r.Provided.Split {
			if s.Weight > 0 {
				shares = append(shares, s)
			}
		}
	}
	if len(shares) == 0 {
		return []WeightedShare{{Deployment: r.Deployment, Weight: 1}}
	}
	return shares
}

// Deployments returns the deployments to which a route leads.
func (r Route) Deployments() []string {
	var list []string
	for _, s := range r.Shares() {
		list = append(list, s.Deployment)
	}
	return list
}

// DeploymentOrder returns the deployments to which a route leads in the order in which a
// request tries them. The first is a deployment with the probability of its share of the
// weights, and so is each further one among those that are left. random returns a number
// for a deployment that is uniformly distributed in [0, 1): with a hash of the request's ID
// the order is always the same, as in weighted rendezvous hashing.
func (r Route) DeploymentOrder(random func(deployment string) float64) []string {
	shares := r.Shares()
	if len(shares) == 1 {
		return []string{shares[0].Deployment}
	}
	arrivals := make(map[string]float64, len(shares)) // exponentially distributed, at the rate of the weight
	for _, s := range shares {
		arrivals[s.Deployment] = -math.Log1p(-random(s.Deployment)) / float64(s.Weight)
	}
	order := r.Deployments()
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(arrivals[a], arrivals[b]) })
	return order
}

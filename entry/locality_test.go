package entry

import (
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/locality"
)

// Guards against items of earlier releases, whose records name no route, that are bound by
// their customers' homes alone.
func TestItemHomes(t *testing.T) {
	state := &config.State{
		Customers: map[string]config.Customer{"at-home": {Homes: locality.Homes{"eu", "us"}}},
		Routes: map[string]config.Route{
			"eu": {Deployment: "d", Homes: locality.Homes{"eu"}}, "any": {Deployment: "d"}, "us": {Deployment: "other", Homes: locality.Homes{"us"}},
		},
	}
	policy := locality.NewPolicy(locality.Regions{"par1": "eu", "nyc1": "us", "tok1": "asia"}, nil)
	for _, c := range []struct {
		customer, deployment, route string
		allowed                     []string
	}{
		{"anyone", "d", "", []string{"par1"}},
		{"at-home", "d", "", []string{"par1"}},
		{"anyone", "d", "eu", []string{"par1"}},
		{"anyone", "d", "any", []string{"par1", "nyc1", "tok1"}},
		{"at-home", "d", "any", []string{"par1", "nyc1"}},
		{"anyone", "other", "", []string{"nyc1"}},
		{"anyone", "d", "removed", []string{"par1", "nyc1", "tok1"}},
		{"", "", "", []string{"par1", "nyc1", "tok1"}},
	} {
		var allowed []string
		for _, dataCentre := range []string{"par1", "nyc1", "tok1"} {
			if policy.Check(dataCentre, itemHomes(state, c.customer, c.deployment, c.route)...) == locality.Allowed {
				allowed = append(allowed, dataCentre)
			}
		}
		gomega.NewWithT(t).Expect(allowed).To(gomega.Equal(c.allowed), "%+v", c)
	}
}

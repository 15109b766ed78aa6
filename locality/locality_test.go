package locality_test

import (
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/locality"
)

var regions = locality.Regions{"par1": "eu", "fra1": "eu", "nyc1": "us"}

// Guards against work that runs outside one of several lists of homes, or in a data
// centre of which the region is unknown.
func TestPolicy_AllHomesBind(t *testing.T) {
	g := gomega.NewWithT(t)
	p := locality.NewPolicy(regions, nil)
	eu, euOrUS, us := locality.Homes{"eu"}, locality.Homes{"eu", "us"}, locality.Homes{"us"}

	g.Expect(p.Check("par1", eu)).To(gomega.Equal(locality.Allowed))
	g.Expect(p.Check("par1", eu, euOrUS)).To(gomega.Equal(locality.Allowed))
	g.Expect(p.Check("par1", eu, us)).To(gomega.Equal(locality.OutsideHomes), "both lists bind")
	g.Expect(p.Check("nyc1", euOrUS, eu)).To(gomega.Equal(locality.OutsideHomes), "the order of the lists does not matter")
	g.Expect(p.Check("nyc1", nil, locality.Homes{})).To(gomega.Equal(locality.Allowed), "empty lists allow any region")
	g.Expect(p.Check("tok1", nil)).To(gomega.Equal(locality.Allowed), "without homes the region need not be known")
	g.Expect(p.Check("tok1", euOrUS)).To(gomega.Equal(locality.OutsideHomes), "an unknown region is outside all homes")
	g.Expect(p.Check("tok1", locality.Homes{""})).To(gomega.Equal(locality.OutsideHomes), "also if a list contains an empty name")
}

// Guards against evacuations that are overlooked, and against a refusal that names the
// passing cause where a lasting one applies as well.
func TestPolicy_Evacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	p := locality.NewPolicy(regions, map[string]bool{"par1": true, "unlisted": true})

	g.Expect(p.Evacuated("par1")).To(gomega.BeTrue())
	g.Expect(p.Evacuated("unlisted")).To(gomega.BeTrue(), "the region of an evacuated data centre need not be known")
	g.Expect(p.Evacuated("fra1")).To(gomega.BeFalse())
	g.Expect(p.Check("par1")).To(gomega.Equal(locality.Evacuated))
	g.Expect(p.Check("par1", locality.Homes{"eu"})).To(gomega.Equal(locality.Evacuated))
	g.Expect(p.Check("par1", locality.Homes{"us"})).To(gomega.Equal(locality.OutsideHomes))
	g.Expect(p.Check("fra1", locality.Homes{"eu"})).To(gomega.Equal(locality.Allowed))
}

// Guards against a deployment without evacuations, regions and homes in which anything
// is refused.
func TestPolicy_NilAllowsEverything(t *testing.T) {
	g := gomega.NewWithT(t)
	var p *locality.Policy
	g.Expect(p.Evacuated("par1")).To(gomega.BeFalse())
	g.Expect(p.Region("par1")).To(gomega.BeEmpty())
	g.Expect(p.Check("par1", locality.Homes{"us"})).To(gomega.Equal(locality.Allowed))
}

// Package locality decides in which data centres work may run. It starts no goroutines,
// does no I/O and does not read the time.
package locality

import "slices"

// Regions holds the region of each data centre.
type Regions map[string]string

// Homes lists the regions in which work may run. An empty list allows any region.
type Homes []string

// Allows reports whether work may run in region. The empty region stands for an unknown
// one, which only an empty list allows.
func (h Homes) Allows(region string) bool {
	return len(h) == 0 || region != "" && slices.Contains(h, region)
}

// Verdict is the decision about work in one data centre.
type Verdict int

// Verdicts. Within one data centre OutsideHomes takes precedence over Evacuated, since it
// does not end when the evacuation does. Over several the order is the reverse: one that is
// only evacuated becomes usable again.
const (
	Allowed      Verdict = iota
	Evacuated            // the data centre is evacuated
	OutsideHomes         // at least one list of homes does not allow its region
)

// String returns the name of v as it appears in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case Evacuated:
		return "evacuated"
	case OutsideHomes:
		return "outside_homes"
	}
	return "unknown"
}

// Policy decides in which data centres work may run. It is immutable and safe for
// concurrent use. A nil *Policy allows everything.
type Policy struct {
	regions   Regions
	evacuated map[string]bool
}

// NewPolicy returns the policy for the regions of data centres and the set of evacuated
// ones, neither of which the caller may modify afterwards.
func NewPolicy(regions Regions, evacuated map[string]bool) *Policy {
	return &Policy{regions: regions, evacuated: evacuated}
}

// Evacuated reports whether dataCentre is evacuated.
func (p *Policy) Evacuated(dataCentre string) bool {
	return p != nil && p.evacuated[dataCentre]
}

// Region returns the region of dataCentre, or the empty string if it is unknown.
func (p *Policy) Region(dataCentre string) string {
	if p == nil {
		return ""
	}
	return p.regions[dataCentre]
}

// Check returns the verdict for work with the given homes in dataCentre. Each list binds
// on its own.
func (p *Policy) Check(dataCentre string, homes ...Homes) Verdict {
	if p == nil {
		return Allowed
	}
	return Decide(p.regions[dataCentre], p.evacuated[dataCentre], homes...)
}

// Decide returns the verdict for work with the given homes in a data centre, of which the
// region is empty if it is unknown. It serves callers that keep region and evacuated beside
// each of many endpoints.
func Decide(region string, evacuated bool, homes ...Homes) Verdict {
	for _, h := range homes {
		if !h.Allows(region) {
			return OutsideHomes
		}
	}
	if evacuated {
		return Evacuated
	}
	return Allowed
}

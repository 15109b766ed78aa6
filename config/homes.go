package config

import (
	"fmt"
	"maps"
	"slices"

	"dandelionrelay/api"
	"dandelionrelay/locality"
)

// ValidateHomes checks that each home that a change adds is the region of a data centre,
// as a wrong name would have all requests of the customer or on the route refused. Homes
// in force are not checked, so that settings without regions do not hold up other
// changes, such as the withdrawal of a key. positions are those that
// LoadFilesWithPositions returned for the new state, or nil.
func ValidateHomes(from, to *State, positions *Positions, regions locality.Regions) []api.Finding {
	v := &validator{state: to}
	if positions != nil {
		v.positions = positions.byPointer
	}
	known := slices.Collect(maps.Values(regions))
	check := func(section, id string, before, after locality.Homes) {
		for i, region := range after {
			if ValidID(region) && !slices.Contains(before, region) && !slices.Contains(known, region) {
				v.addFinding(section, id, fmt.Sprintf("homes/%d", i),
					"no data centre of region %q is in the settings of this entry (regions)", region)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(to.Customers)) {
		check("customers", id, from.Customers[id].Homes, to.Customers[id].Homes)
	}
	for _, id := range slices.Sorted(maps.Keys(to.Routes)) {
		check("routes", id, from.Routes[id].Homes, to.Routes[id].Homes)
	}
	return v.findings
}

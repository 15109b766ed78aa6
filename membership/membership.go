// Package membership tracks the instances of the fleet, detects failed endpoints and
// chooses the endpoints that an entry uses.
package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
)

// Members provides the instances of the fleet. The returned slices are sorted by ID
// and must not be modified.
type Members interface {
	// Entries returns the entries that are not known to have been removed.
	Entries() []infra.Instance
	// Endpoints returns the sidecars of a deployment that are not known to have been
	// removed, leaving ones included.
	Endpoints(deployment string) []infra.Instance
}

// Static is a Members with a fixed list of instances in any order.
type Static []infra.Instance

// Entries implements Members.
func (s Static) Entries() []infra.Instance {
	return s.sorted(func(i infra.Instance) bool { return i.Role == infra.RoleEntry })
}

// Endpoints implements Members.
func (s Static) Endpoints(deployment string) []infra.Instance {
	return s.sorted(func(i infra.Instance) bool {
		return i.Role == infra.RoleSidecar && i.Deployment == deployment
	})
}

func (s Static) sorted(keep func(infra.Instance) bool) []infra.Instance {
	var out []infra.Instance
	for _, i := range s {
		if keep(i) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b infra.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Rank returns members ordered for key by rendezvous hashing, the preferred one first.
// The relative order of the others does not change when a member is removed.
func Rank(key string, members []infra.Instance) []infra.Instance {
	ranked := make([]rankedInstance, len(members))
	for i := range members {
		ranked[i].score = Score(key, members[i].ID)
		ranked[i].instance = &members[i]
	}
	slices.SortFunc(ranked, func(a, b rankedInstance) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return strings.Compare(a.instance.ID, b.instance.ID)
	})
	out := make([]infra.Instance, len(members))
	for i := range ranked {
		out[i] = *ranked[i].instance
	}
	return out
}

// rankedInstance is an instance with its Score for a key.
type rankedInstance struct {
	score    uint64
	instance *infra.Instance
}

// Score returns the score of the member with the given ID for key in rendezvous hashing.
// The member with the largest score is preferred.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// UnitScore returns Score as a number that is uniformly distributed in [0, 1).
func UnitScore(key, id string) float64 {
	const bits = 53 // that a float64 holds exactly
	return float64(Score(key, id)>>(64-bits)) / (1 << bits)
}

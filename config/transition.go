package config

import (
	"maps"
	"slices"

	"dandelionrelay/api"
)

// ValidateChange checks that one state may replace another: a withdrawn key
// stays withdrawn, its digest is not used again under another ID, and the digest
// of a key does not change. Only the process that proposes a change checks this;
// replicas do not, so that processes of different releases agree. positions are
// those that LoadFilesWithPositions returned for the new state, or nil.
func ValidateChange(from, to *State, positions *Positions) []api.Finding {
	v := &validator{state: to}
	if positions != nil {
		v.positions = positions.byPointer
	}
	withdrawn := make(map[string]string) // digest -> key ID
	for id, old := range from.Keys {
		if old.Withdrawn {
			withdrawn[old.Digest] = id
		}
	}
	for _, id := range slices.Sorted(maps.Keys(to.Keys)) {
		k := to.Keys[id]
		old, had := from.Keys[id]
		switch {
		case had && old.Withdrawn && !k.Withdrawn:
			v.addFinding("keys", id, "withdrawn", "key %q is withdrawn and cannot be put back; make a new one", id)
		case had && old.Digest != k.Digest:
			v.addFinding("keys", id, "digest", "the digest of a key cannot change; make a new one")
		case !had && withdrawn[k.Digest] != "":
			v.addFinding("keys", id, "digest", "same digest as the withdrawn key %q", withdrawn[k.Digest])
		}
	}
	return v.findings
}

// Positions holds the file and line of each entry of a state.
type Positions struct{ byPointer map[string]position }

package config

import (
	"maps"
	"slices"

	"dandelionrelay/api"
)

// ValidateChange checks that one state may follow another: a withdrawn key
// stays withdrawn, and its digest does not come back under another id. Only
// who proposes a change asks this; readers of the log judge by versions
// alone, so that processes of different releases agree. The places are those
// of LoadFiles for the new state, or nil.
func ValidateChange(from, to *State, places *Positions) []api.Finding {
	v := &validator{state: to}
	if places != nil {
		v.places = places.byPointer
	}
	withdrawn := make(map[string]string) // digest -> key id
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
			v.add("keys", id, "withdrawn", "key %q is withdrawn and cannot be put back; make a new one", id)
		case had && old.Digest != k.Digest:
			v.add("keys", id, "digest", "the digest of a key cannot change; make a new one")
		case !had && withdrawn[k.Digest] != "":
			v.add("keys", id, "digest", "same digest as the withdrawn key %q", withdrawn[k.Digest])
		}
	}
	return v.findings
}

// Positions tells where the entries of a state stand in its files.
type Positions struct{ byPointer map[string]place }

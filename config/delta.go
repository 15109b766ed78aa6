package config

import (
	"maps"
	"reflect"
	"slices"
)

// Delta is the difference between two states.
type Delta struct {
	Customers   Changes[Customer]   `json:"customers,omitzero"`
	Keys        Changes[Key]        `json:"keys,omitzero"`
	Routes      Changes[Route]      `json:"routes,omitzero"`
	Deployments Changes[Deployment] `json:"deployments,omitzero"`
	Evacuations Changes[bool]       `json:"evacuations,omitzero"`
}

// Changes is the difference between two states in one section, by ID.
type Changes[T any] struct {
	Set    map[string]T `json:"set,omitempty"`    // new or replaced entries
	Remove []string     `json:"remove,omitempty"` // sorted
}

// Len returns the number of entries that c sets or removes.
func (c Changes[T]) Len() int { return len(c.Set) + len(c.Remove) }

// Len returns the number of entries that d sets or removes.
func (d *Delta) Len() int {
	return d.Customers.Len() + d.Keys.Len() + d.Routes.Len() + d.Deployments.Len() + d.Evacuations.Len()
}

// Diff returns the delta from one state to another.
func Diff(from, to *State) *Delta {
	return &Delta{
		Customers:   diffSection(from.Customers, to.Customers),
		Keys:        diffSection(from.Keys, to.Keys),
		Routes:      diffSection(from.Routes, to.Routes),
		Deployments: diffSection(from.Deployments, to.Deployments),
		Evacuations: diffSection(from.Evacuations, to.Evacuations),
	}
}

func diffSection[T any](from, to map[string]T) Changes[T] {
	var c Changes[T]
	for id, e := range to {
		old, ok := from[id]
		if ok && reflect.DeepEqual(old, e) {
			continue
		}
		if c.Set == nil {
			c.Set = make(map[string]T)
		}
		c.Set[id] = e
	}
	for id := range from {
		if _, ok := to[id]; !ok {
			c.Remove = append(c.Remove, id)
		}
	}
	slices.Sort(c.Remove)
	return c
}

// Apply returns the state that results from applying d to s, and its hash;
// hash is the hash of s. It does not modify s; the result shares with s the
// sections that d does not change.
func (s *State) Apply(d *Delta, hash Hash) (*State, Hash) {
	next := &State{
		Customers:   applySection(s.Customers, d.Customers, "customers", &hash),
		Keys:        applySection(s.Keys, d.Keys, "keys", &hash),
		Routes:      applySection(s.Routes, d.Routes, "routes", &hash),
		Deployments: applySection(s.Deployments, d.Deployments, "deployments", &hash),
		Evacuations: applySection(s.Evacuations, d.Evacuations, "evacuations", &hash),
	}
	return next, hash
}

func applySection[T any](entries map[string]T, c Changes[T], section string, h *Hash) map[string]T {
	if c.Len() == 0 {
		return entries
	}
	next := make(map[string]T, len(entries)+len(c.Set))
	maps.Copy(next, entries)
	remove := func(id string) {
		if old, ok := next[id]; ok {
			h.toggle(section, id, old)
			delete(next, id)
		}
	}
	for _, id := range c.Remove {
		remove(id)
	}
	for id, e := range c.Set {
		remove(id)
		next[id] = e
		h.toggle(section, id, e)
	}
	return next
}

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
}

// Changes is the difference in one section of the state, by id.
type Changes[T any] struct {
	Set    map[string]T `json:"set,omitempty"`    // new or replaced entries
	Remove []string     `json:"remove,omitempty"` // sorted
}

// Len returns the number of entries that the section's difference touches.
func (c Changes[T]) Len() int { return len(c.Set) + len(c.Remove) }

// Len returns the number of entries that the delta touches.
func (d *Delta) Len() int {
	return d.Customers.Len() + d.Keys.Len() + d.Routes.Len() + d.Deployments.Len()
}

// Diff returns the delta that leads from one state to the other.
func Diff(from, to *State) *Delta {
	return &Delta{
		Customers:   diff(from.Customers, to.Customers),
		Keys:        diff(from.Keys, to.Keys),
		Routes:      diff(from.Routes, to.Routes),
		Deployments: diff(from.Deployments, to.Deployments),
	}
}

func diff[T any](from, to map[string]T) Changes[T] {
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

// Apply returns the state after d and its hash, given the hash of s. It
// leaves s as it was and shares with it the sections that d does not touch.
func (s *State) Apply(d *Delta, hash Hash) (*State, Hash) {
	next := &State{
		Customers:   applyTo(s.Customers, d.Customers, "customers", &hash),
		Keys:        applyTo(s.Keys, d.Keys, "keys", &hash),
		Routes:      applyTo(s.Routes, d.Routes, "routes", &hash),
		Deployments: applyTo(s.Deployments, d.Deployments, "deployments", &hash),
	}
	return next, hash
}

func applyTo[T any](entries map[string]T, c Changes[T], section string, h *Hash) map[string]T {
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

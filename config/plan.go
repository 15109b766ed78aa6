package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action is what a change does to an entry of the state.
type Action string

// The actions.
const (
	Add     Action = "add"
	Replace Action = "change"
	Remove  Action = "remove"
)

// EntryChange is the difference in one entry of the state, for people to
// read. Digests of keys are left out.
type EntryChange struct {
	Action  Action        `json:"action"`
	Section string        `json:"section"`
	ID      string        `json:"id"`
	Fields  []FieldChange `json:"fields,omitempty"` // empty for a removal
}

// FieldChange is the difference in one field, as JSON; empty means not set.
type FieldChange struct {
	Name string          `json:"name"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// String returns the change in one line.
func (c EntryChange) String() string {
	sign := map[Action]string{Add: "+", Replace: "~", Remove: "-"}[c.Action]
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.String()
	}
	line := fmt.Sprintf("%s %s/%s  %s", sign, c.Section, c.ID, strings.Join(fields, ", "))
	return strings.TrimRight(line, " ")
}

// String returns the change of the field.
func (f FieldChange) String() string {
	switch {
	case f.From == nil:
		return fmt.Sprintf("%s: %s", f.Name, f.To)
	case f.To == nil:
		return fmt.Sprintf("%s: %s -> not set", f.Name, f.From)
	}
	return fmt.Sprintf("%s: %s -> %s", f.Name, f.From, f.To)
}

// Plan returns the differences between two states, in the order of sections
// and ids.
func Plan(from, to *State) []EntryChange {
	return slices.Concat(
		plan("customers", from.Customers, to.Customers),
		plan("keys", redact(from.Keys), redact(to.Keys)),
		plan("deployments", from.Deployments, to.Deployments),
		plan("routes", from.Routes, to.Routes),
	)
}

func plan[T any](section string, from, to map[string]T) []EntryChange {
	ids := slices.Concat(slices.Collect(maps.Keys(from)), slices.Collect(maps.Keys(to)))
	slices.Sort(ids)
	var changes []EntryChange
	for _, id := range slices.Compact(ids) {
		old, had := from[id]
		now, has := to[id]
		switch {
		case !has:
			changes = append(changes, EntryChange{Action: Remove, Section: section, ID: id})
		case !had:
			changes = append(changes, EntryChange{Action: Add, Section: section, ID: id, Fields: fieldChanges(nil, now)})
		default:
			if fields := fieldChanges(old, now); len(fields) > 0 {
				changes = append(changes, EntryChange{Action: Replace, Section: section, ID: id, Fields: fields})
			}
		}
	}
	return changes
}

// fieldChanges compares the JSON forms of two entries.
func fieldChanges(old, now any) []FieldChange {
	a, b := fieldsOf(old), fieldsOf(now)
	names := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(names)
	var changes []FieldChange
	for _, name := range slices.Compact(names) {
		if !bytes.Equal(a[name], b[name]) {
			changes = append(changes, FieldChange{Name: name, From: a[name], To: b[name]})
		}
	}
	return changes
}

func fieldsOf(entry any) map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage)
	if entry == nil {
		return fields
	}
	// Entries are structs that always marshal to objects.
	b, _ := json.Marshal(entry)
	_ = json.Unmarshal(b, &fields)
	return fields
}

// Redacted returns s without the digests of keys.
func (s *State) Redacted() *State {
	shown := *s
	shown.Keys = redact(s.Keys)
	return &shown
}

// Redacted returns e without the digests of keys.
func (e AuditEntry) Redacted() AuditEntry {
	if e.Delta == nil {
		return e
	}
	delta := *e.Delta
	delta.Keys.Set = redact(delta.Keys.Set)
	e.Delta = &delta
	return e
}

func redact(keys map[string]Key) map[string]Key {
	if keys == nil {
		return nil
	}
	shown := make(map[string]Key, len(keys))
	for id, k := range keys {
		k.Digest = ""
		shown[id] = k
	}
	return shown
}

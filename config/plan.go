package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action is the effect of a change on an entry of the state.
type Action string

// Actions of a change.
const (
	Add     Action = "add"
	Replace Action = "change"
	Remove  Action = "remove"
)

// EntryChange is the difference in one entry of the state, for display. The
// digests of keys are omitted.
type EntryChange struct {
	Action  Action        `json:"action"`
	Section string        `json:"section"`
	ID      string        `json:"id"`
	Fields  []FieldChange `json:"fields,omitempty"` // empty for a removal
}

// FieldChange is the old and the new JSON value of one field; empty means not
// set.
type FieldChange struct {
	Name string          `json:"name"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// String formats the change as one line.
func (c EntryChange) String() string {
	sign := map[Action]string{Add: "+", Replace: "~", Remove: "-"}[c.Action]
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.String()
	}
	line := fmt.Sprintf("%s %s/%s  %s", sign, c.Section, c.ID, strings.Join(fields, ", "))
	return strings.TrimRight(line, " ")
}

// String formats the change as "name: old -> new", or as "name: new" for a field
// that was not set before.
func (f FieldChange) String() string {
	switch {
	case f.From == nil:
		return fmt.Sprintf("%s: %s", f.Name, f.To)
	case f.To == nil:
		return fmt.Sprintf("%s: %s -> not set", f.Name, f.From)
	}
	return fmt.Sprintf("%s: %s -> %s", f.Name, f.From, f.To)
}

// Plan returns the differences between two states, ordered by section and ID.
func Plan(from, to *State) []EntryChange {
	return slices.Concat(
		planSection("customers", from.Customers, to.Customers),
		planSection("keys", redactKeys(from.Keys), redactKeys(to.Keys)),
		planSection("deployments", from.Deployments, to.Deployments),
		planSection("routes", from.Routes, to.Routes),
		planSection("evacuations", from.Evacuations, to.Evacuations),
	)
}

func planSection[T any](section string, from, to map[string]T) []EntryChange {
	ids := slices.Concat(slices.Collect(maps.Keys(from)), slices.Collect(maps.Keys(to)))
	slices.Sort(ids)
	var changes []EntryChange
	for _, id := range slices.Compact(ids) {
		old, had := from[id]
		updated, has := to[id]
		switch {
		case !has:
			changes = append(changes, EntryChange{Action: Remove, Section: section, ID: id})
		case !had:
			changes = append(changes, EntryChange{Action: Add, Section: section, ID: id, Fields: fieldChanges(nil, updated)})
		default:
			if fields := fieldChanges(old, updated); len(fields) > 0 {
				changes = append(changes, EntryChange{Action: Replace, Section: section, ID: id, Fields: fields})
			}
		}
	}
	return changes
}

// fieldChanges returns the fields whose JSON values differ between two entries.
func fieldChanges(old, updated any) []FieldChange {
	a, b := fieldsOf(old), fieldsOf(updated)
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
	// Entries are structs, which always marshal to JSON objects, or in the set of
	// evacuations true, which has no fields.
	b, _ := json.Marshal(entry)
	_ = json.Unmarshal(b, &fields)
	return fields
}

// Redacted returns s without the digests of keys.
func (s *State) Redacted() *State {
	redacted := *s
	redacted.Keys = redactKeys(s.Keys)
	return &redacted
}

// Redacted returns e without the digests of keys.
func (e AuditEntry) Redacted() AuditEntry {
	if e.Delta == nil {
		return e
	}
	delta := *e.Delta
	delta.Keys.Set = redactKeys(delta.Keys.Set)
	e.Delta = &delta
	return e
}

func redactKeys(keys map[string]Key) map[string]Key {
	if keys == nil {
		return nil
	}
	redacted := make(map[string]Key, len(keys))
	for id, k := range keys {
		k.Digest = ""
		redacted[id] = k
	}
	return redacted
}

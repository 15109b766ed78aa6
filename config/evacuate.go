package config

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/google/uuid"
)

// maxEvacuateAttempts bounds how often the change of an evacuation is proposed again
// because another change was accepted first.
const maxEvacuateAttempts = 8

// Evacuate starts the evacuation of a data centre, or ends it, and waits for the verdict
// like Propose. A change of another operator that is accepted first does not conflict
// with an evacuation: it is proposed again from the new version, under an ID derived from
// id, so that a call repeated with the same ID has no further effect. If there is
// nothing to change, the entry has only the version in force.
func (f *Follower) Evacuate(ctx context.Context, id, dataCentre string, end bool, operator string) (AuditEntry, error) {
	edit := func(inForce *State) *State { return inForce.withEvacuation(dataCentre, end) }
	var entry AuditEntry
	for attempt := range maxEvacuateAttempts {
		// An entry that lags behind the log must not report that there is nothing to change.
		readErr := f.readLog(ctx, 0)
		var err error
		entry, err = f.ProposeEdit(ctx, attemptID(id, attempt), f.Status(time.Now()).Version, edit, operator)
		if err != nil {
			return AuditEntry{}, err
		}
		if entry.Offset == 0 && readErr != nil {
			return AuditEntry{}, Indeterminate.Wrap(readErr, "change %s", id)
		}
		if entry.Verdict != Conflict {
			break
		}
	}
	return entry, nil
}

// attemptID returns the ID of the record of an attempt at the change id.
func attemptID(id string, attempt int) string {
	if attempt == 0 {
		return id
	}
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%d", id, attempt)).String()
}

// withEvacuation returns s with the evacuation of a data centre started or ended, or nil
// if s is that state already.
func (s *State) withEvacuation(dataCentre string, end bool) *State {
	if s.Evacuations[dataCentre] != end {
		return nil
	}
	next := *s
	next.Evacuations = maps.Clone(s.Evacuations)
	if end {
		delete(next.Evacuations, dataCentre)
		return &next
	}
	if next.Evacuations == nil {
		next.Evacuations = make(map[string]bool)
	}
	next.Evacuations[dataCentre] = true
	return &next
}

// WithEvacuationsOf returns s with the evacuations of other. Files of a desired state
// contain none, so that applying them neither starts nor ends an evacuation.
func (s *State) WithEvacuationsOf(other *State) *State {
	next := *s
	next.Evacuations = other.Evacuations
	return &next
}

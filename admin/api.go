// Package admin implements the administration interface: an HTTP handler that
// entries serve to operators, and its client. Operators authenticate with their
// own tokens; callers' keys are not accepted.
package admin

import (
	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
)

// Paths of the interface.
const (
	PathPlan   = "/admin/v1/plan"
	PathApply  = "/admin/v1/apply"
	PathState  = "/admin/v1/state"
	PathAudit  = "/admin/v1/audit"
	PathStatus = "/admin/v1/status"

	PathEvacuations = "/admin/v1/evacuations"
)

// Codes of errors that are returned to operators only.
const (
	CodeFindings      api.Code = "findings"     // the files are invalid; all findings are listed
	CodeIndeterminate api.Code = "undecided"    // the change may or may not take effect
	CodeUnauthorized  api.Code = "unauthorized" // the operator's token is missing or unknown
	CodeBadBase       api.Code = "bad_base"     // the base version is not in force yet
)

// PlanRequest asks which changes applying the files would make.
type PlanRequest struct {
	Files map[string]string `json:"files"` // name -> content
}

// PlanReply is the difference between the state in force and the files.
type PlanReply struct {
	Base    uint64               `json:"base"` // version in force; the base for applying the files
	Changes []config.EntryChange `json:"changes"`
}

// ApplyRequest makes the files the desired state.
type ApplyRequest struct {
	ID    string            `json:"id"`   // of the change, a UUID; the same in every retry
	Base  uint64            `json:"base"` // version from which the change was made
	Files map[string]string `json:"files"`
}

// ApplyReply reports that a change is in force, or that there was nothing to
// change.
type ApplyReply struct {
	ID      string               `json:"id"`
	Version uint64               `json:"version"`          // in force
	Offset  infra.Offset         `json:"offset,omitempty"` // of the change in the log; 0 if there was nothing to change
	Changes []config.EntryChange `json:"changes"`
}

// StateReply is the state in force, without the digests of keys.
type StateReply struct {
	Version uint64        `json:"version"`
	Hash    config.Hash   `json:"hash"`
	State   *config.State `json:"state"`
}

// AuditReply lists the retained accepted and rejected changes, oldest first,
// without the digests of keys.
type AuditReply struct {
	Entries []config.AuditEntry `json:"entries"`
}

// StatusReply is the status of an entry and its configuration.
type StatusReply struct {
	Instance   string        `json:"instance"`
	DataCentre string        `json:"data_centre"`
	Entries    int           `json:"entries"` // number of entries known to this one
	Config     config.Status `json:"config"`

	Evacuations []string `json:"evacuations"` // evacuated data centres, sorted
}

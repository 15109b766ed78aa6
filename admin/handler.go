package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/settings"
)

// Limits of the interface.
const (
	MaxRequestBytes     = 16 << 20
	DefaultAuditEntries = 100 // audit entries returned if the request sets no limit

	// verdictTimeout is the maximum wait for the verdict on a change.
	// verdictRetryAfter is the Retry-After of a response without a verdict.
	verdictTimeout    = 15 * time.Second
	verdictRetryAfter = 2 * time.Second
)

// Options holds the dependencies of a Handler.
type Options struct {
	Self     infra.Instance
	Follower *config.Follower
	Source   config.Source
	Members  membership.Members
	Jobs     JobLister
	// Quarantine may be nil; the paths of the quarantine are not served then.
	Quarantine Quarantine
	Operators  func() []settings.Operator
	Regions    func() locality.Regions // nil: the homes of changes are not compared with regions
	Logger     zerolog.Logger
}

// Handler serves the administration interface.
type Handler struct {
	Options
	mux *http.ServeMux
}

// NewHandler returns a Handler for all paths of the interface.
func NewHandler(o Options) *Handler {
	h := &Handler{Options: o, mux: http.NewServeMux()}
	h.handle("POST "+PathPlan, h.plan)
	h.handle("POST "+PathApply, h.apply)
	h.handle("POST "+PathEvacuations, h.evacuate)
	h.handle("GET "+PathState, h.state)
	h.handle("GET "+PathAudit, h.audit)
	h.handle("GET "+PathStatus, h.status)
	h.handle("GET "+PathJobs, h.jobs)
	if h.Quarantine != nil {
		h.handle("GET "+PathQuarantine, h.listQuarantined)
		h.handle("DELETE "+PathQuarantine+"/{digest}", h.lift)
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// operatorHandler serves a request of the named operator and returns the reply,
// which is sent as JSON.
type operatorHandler func(r *http.Request, operator string) (any, *api.Error)

// handle registers serve for pattern. Requests are authenticated by the operator's
// token and logged.
func (h *Handler) handle(pattern string, serve operatorHandler) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		id := api.RequestID(r.Header)
		w.Header().Set(api.HeaderRequestID, id)
		operator, err := h.operator(r)
		var reply any
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
			reply, err = serve(r.WithContext(pipeline.WithRequestID(r.Context(), id)), operator)
		}
		event := h.Logger.Info().Str("request", id).Str("operator", operator).Str("path", r.URL.Path)
		if err != nil {
			event.Str("code", string(err.Code)).Msg("administration request refused")
			err.RequestID = id
			api.WriteError(w, err)
			return
		}
		event.Msg("administration request answered")
		api.WriteJSON(w, http.StatusOK, reply)
	})
}

// operator returns the name of the operator whose token the request has.
func (h *Handler) operator(r *http.Request) (string, *api.Error) {
	tokens := authn.Credentials(r.Header)
	if len(tokens) == 1 {
		digest := []byte(authn.Digest(tokens[0]))
		for _, o := range h.Operators() {
			if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(o.Digest))) == 1 {
				return o.Name, nil
			}
		}
	}
	return "", api.NewError(http.StatusUnauthorized, CodeUnauthorized,
		"this interface needs the token of an operator: Authorization: Bearer TOKEN")
}

func (h *Handler) plan(r *http.Request, _ string) (any, *api.Error) {
	var req PlanRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	snapshot := h.Source.Current()
	next, err := h.loadFiles(req.Files, snapshot.State)
	if err != nil {
		return nil, err
	}
	return PlanReply{Base: snapshot.Version, Changes: config.Plan(snapshot.State, next)}, nil
}

func (h *Handler) apply(r *http.Request, operator string) (any, *api.Error) {
	var req ApplyRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if _, err := uuid.Parse(req.ID); err != nil {
		return nil, badRequest("id must be a UUID, new for each change and the same in its retries")
	}
	snapshot := h.Source.Current()
	next, loadErr := h.loadFiles(req.Files, snapshot.State)
	if loadErr != nil {
		return nil, loadErr
	}
	changes := config.Plan(snapshot.State, next)
	if req.Base == snapshot.Version && config.Diff(snapshot.State, next).Len() == 0 {
		return ApplyReply{ID: req.ID, Version: snapshot.Version}, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), verdictTimeout)
	defer cancel()
	// The evacuations are those in force when the change is proposed, which may have
	// changed since snapshot.
	edit := func(inForce *config.State) *config.State { return next.WithEvacuationsOf(inForce) }
	entry, err := h.Follower.ProposeEdit(ctx, req.ID, req.Base, edit, operator)
	if err != nil {
		return nil, proposalError(req.ID, err)
	}
	if entry.Verdict != config.Accepted {
		return nil, rejectionError(entry)
	}
	return ApplyReply{ID: entry.ID, Version: entry.Version, Offset: entry.Offset, Changes: changes}, nil
}

// proposalError returns the response to a proposed change that got no verdict
// because of err.
func proposalError(id string, err error) *api.Error {
	switch {
	case errorx.IsOfType(err, config.BadBase):
		return api.NewError(http.StatusConflict, CodeBadBase, errorx.Cast(err).Message())
	case errorx.IsOfType(err, config.StateUnknown):
		return api.NewError(http.StatusServiceUnavailable, api.CodeLogDown,
			"this entry does not know the configuration yet").WithRetryAfter(verdictRetryAfter)
	}
	message := fmt.Sprintf("the log did not answer in time; change %s may still take effect: repeat it with the same id, or look for it in the audit trail", id)
	return api.NewError(http.StatusServiceUnavailable, CodeIndeterminate, message).
		WithOutcome(api.Unknown).WithRetryAfter(verdictRetryAfter)
}

// rejectionError returns the response to a rejected change. It names the operator
// whose change won a conflict.
func rejectionError(e config.AuditEntry) *api.Error {
	if e.Verdict != config.Conflict {
		return api.NewError(http.StatusConflict, api.CodeConflict, fmt.Sprintf("change %s was rejected as %s", e.ID, e.Verdict))
	}
	winner := "another operator"
	if e.Winner != "" {
		winner = e.Winner
	}
	return api.NewError(http.StatusConflict, api.CodeConflict, fmt.Sprintf(
		"the change was made from version %d, but %s had changed that already; version %d is in force: plan again",
		e.Base, winner, e.InForce))
}

// loadFiles parses the files and validates them as the successor of the state in
// force, whose evacuations are kept.
func (h *Handler) loadFiles(texts map[string]string, current *config.State) (*config.State, *api.Error) {
	files := make(map[string][]byte, len(texts))
	for name, text := range texts {
		files[name] = []byte(text)
	}
	if len(files) == 0 {
		return nil, badRequest("no files")
	}
	next, positions, findings := config.LoadFilesWithPositions(files)
	findings = append(findings, config.ValidateChange(current, next, positions)...)
	if h.Regions != nil {
		findings = append(findings, config.ValidateHomes(current, next, positions, h.Regions())...)
	}
	if len(findings) > 0 {
		err := api.NewError(http.StatusUnprocessableEntity, CodeFindings, fmt.Sprintf("%d findings", len(findings)))
		err.Findings = findings
		return nil, err
	}
	return next.WithEvacuationsOf(current), nil
}

func (h *Handler) state(*http.Request, string) (any, *api.Error) {
	status := h.Follower.Status(time.Now())
	snapshot := h.Source.Current()
	reply := StateReply{Version: snapshot.Version, State: snapshot.State.Redacted()}
	if status.Version == snapshot.Version {
		reply.Hash = status.Hash
	}
	return reply, nil
}

func (h *Handler) audit(r *http.Request, _ string) (any, *api.Error) {
	limit := DefaultAuditEntries
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, badRequest("limit must be a number from 1")
		}
		limit = n
	}
	entries := h.Follower.Audit()
	entries = slices.Clone(entries[max(0, len(entries)-limit):])
	for i := range entries {
		entries[i] = entries[i].Redacted()
	}
	return AuditReply{Entries: entries}, nil
}

func (h *Handler) status(*http.Request, string) (any, *api.Error) {
	return StatusReply{
		Instance:   h.Self.ID,
		DataCentre: h.Self.DataCentre,
		Entries:    len(h.Members.Entries()),
		Config:     h.Follower.Status(time.Now()),

		Evacuations: evacuations(h.Source.Current().State),
	}, nil
}

func readJSON(r *http.Request, into any) *api.Error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge,
			fmt.Sprintf("the request exceeds %d bytes", MaxRequestBytes))
	}
	if err != nil {
		return badRequest("the body is not valid: " + err.Error())
	}
	return nil
}

func badRequest(message string) *api.Error {
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, message)
}

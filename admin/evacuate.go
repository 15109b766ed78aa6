package admin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/google/uuid"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
)

// EvacuateRequest starts or ends the evacuation of a data centre.
type EvacuateRequest struct {
	ID         string `json:"id"` // of the change, a UUID; the same in every retry
	DataCentre string `json:"data_centre"`
	End        bool   `json:"end,omitempty"`
}

// EvacuateReply reports that the change is in force, or that there was nothing to change.
type EvacuateReply struct {
	ID          string       `json:"id"`               // of the accepted change, which differs from that of the request if another change was accepted first
	Version     uint64       `json:"version"`          // in force
	Offset      infra.Offset `json:"offset,omitempty"` // of the change in the log; 0 if there was nothing to change
	DataCentre  string       `json:"data_centre"`
	Evacuated   bool         `json:"evacuated"`
	Instances   int          `json:"instances"`   // known in the data centre; 0 if its name is not known
	Evacuations []string     `json:"evacuations"` // evacuated data centres, sorted
}

// Evacuate starts or ends an evacuation. The instances that receive the change log its ID
// as the request ID.
func (c *Client) Evacuate(ctx context.Context, req EvacuateRequest) (*EvacuateReply, error) {
	reply := new(EvacuateReply)
	return reply, c.callWithID(ctx, req.ID, http.MethodPost, PathEvacuations, req, reply)
}

func (h *Handler) evacuate(r *http.Request, operator string) (any, *api.Error) {
	var req EvacuateRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if _, err := uuid.Parse(req.ID); err != nil {
		return nil, badRequest("id must be a UUID, new for each change and the same in its retries")
	}
	if !config.ValidID(req.DataCentre) {
		return nil, badRequest(fmt.Sprintf("the name of a data centre must be %s, is %q", config.IDForm, req.DataCentre))
	}
	ctx, cancel := context.WithTimeout(r.Context(), verdictTimeout)
	defer cancel()
	entry, err := h.Follower.Evacuate(ctx, req.ID, req.DataCentre, req.End, operator)
	if err != nil {
		return nil, proposalError(req.ID, err)
	}
	if entry.Offset != 0 && entry.Verdict != config.Accepted {
		return nil, rejectionError(entry)
	}
	instances := h.instancesIn(req.DataCentre)
	h.Logger.Info().Str("operator", operator).Str("data_centre", req.DataCentre).Bool("end", req.End).
		Uint64("version", entry.InForce).Uint64("offset", uint64(entry.Offset)).Int("instances", instances).
		Msg("evacuation requested")
	return EvacuateReply{
		ID:          cmp.Or(entry.ID, req.ID),
		Version:     entry.InForce,
		Offset:      entry.Offset,
		DataCentre:  req.DataCentre,
		Evacuated:   !req.End,
		Instances:   instances,
		Evacuations: evacuations(h.Source.Current().State),
	}, nil
}

// instancesIn returns the number of instances known in a data centre.
func (h *Handler) instancesIn(dataCentre string) int {
	instances := slices.Clone(h.Members.Entries())
	for deployment := range h.Source.Current().State.Deployments {
		instances = append(instances, h.Members.Endpoints(deployment)...)
	}
	n := 0
	for _, i := range instances {
		if i.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// evacuations returns the evacuated data centres of s, sorted. The list is never nil.
func evacuations(s *config.State) []string {
	return append([]string{}, slices.Sorted(maps.Keys(s.Evacuations))...)
}

package admin

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// PathQuarantine lists the requests that crashed endpoints. DELETE of
// PathQuarantine/{digest} clears the crash records of a request.
const PathQuarantine = "/admin/v1/quarantine"

// QuarantineReply lists requests by digest, the most recent crash first.
type QuarantineReply struct {
	Requests []quarantine.CrashRecord `json:"requests"`
}

// Quarantine holds the crash records of requests; quarantine.Node implements it.
type Quarantine interface {
	// Records returns the crash records, the most recent crash first.
	Records() []quarantine.CrashRecord
	// Lift clears the crash record of a request. It returns false if there is
	// none.
	Lift(quarantine.Digest) bool
}

func (h *Handler) listQuarantined(*http.Request, string) (any, *api.Error) {
	return QuarantineReply{Requests: h.Quarantine.Records()}, nil
}

// lift clears the crash record of a request and returns the remaining ones. The
// operator is logged as for each request, and the change is recorded in the
// stream of the quarantine.
func (h *Handler) lift(r *http.Request, operator string) (any, *api.Error) {
	var d quarantine.Digest
	if err := d.UnmarshalText([]byte(r.PathValue("digest"))); err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed digest")
	}
	if !h.Quarantine.Lift(d) {
		return nil, api.NewError(http.StatusNotFound, api.CodeNotFound, "nothing is held against this digest")
	}
	return h.listQuarantined(r, operator)
}

// Quarantine returns the crash records of requests.
func (c *Client) Quarantine(ctx context.Context) (*QuarantineReply, error) {
	reply := new(QuarantineReply)
	return reply, c.call(ctx, http.MethodGet, PathQuarantine, nil, reply)
}

// Lift clears the crash record of the request with digest d and returns the
// remaining ones.
func (c *Client) Lift(ctx context.Context, d quarantine.Digest) (*QuarantineReply, error) {
	reply := new(QuarantineReply)
	return reply, c.call(ctx, http.MethodDelete, PathQuarantine+"/"+d.String(), nil, reply)
}

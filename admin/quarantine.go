package admin

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// PathQuarantine lists the requests that endpoints died of; DELETE of a digest
// below it lifts what is held against that one.
const PathQuarantine = "/admin/v1/quarantine"

// QuarantineReply lists requests by digest, the latest death first.
type QuarantineReply struct {
	Requests []quarantine.CrashRecord `json:"requests"`
}

// Quarantine knows the requests that endpoints died of; quarantine.Node
// implements it.
type Quarantine interface {
	Held() []quarantine.CrashRecord
	Lift(quarantine.Digest) bool
}

func (h *Handler) quarantined(*http.Request, string) (any, *api.Error) {
	return QuarantineReply{Requests: h.Quarantine.Held()}, nil
}

// lift answers with what is still held. The change is logged with its operator
// like each request, and recorded in the stream of the quarantine.
func (h *Handler) lift(r *http.Request, operator string) (any, *api.Error) {
	var d quarantine.Digest
	if err := d.UnmarshalText([]byte(r.PathValue("digest"))); err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed digest")
	}
	if !h.Quarantine.Lift(d) {
		return nil, api.NewError(http.StatusNotFound, api.CodeNotFound, "nothing is held against this digest")
	}
	return h.quarantined(r, operator)
}

// Quarantine returns the requests that endpoints died of.
func (c *Client) Quarantine(ctx context.Context) (*QuarantineReply, error) {
	reply := new(QuarantineReply)
	return reply, c.call(ctx, http.MethodGet, PathQuarantine, nil, reply)
}

// Lift lifts what is held against a digest.
func (c *Client) Lift(ctx context.Context, d quarantine.Digest) (*QuarantineReply, error) {
	reply := new(QuarantineReply)
	return reply, c.call(ctx, http.MethodDelete, PathQuarantine+"/"+d.String(), nil, reply)
}

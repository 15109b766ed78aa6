package membership

import (
	"time"

	"dandelionrelay/infra"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Members"

// MethodAnnounce is the RPC by which an instance says that it serves or
// leaves, ahead of the platform's list.
const MethodAnnounce = "Members.Announce"

// AnnounceArgs carries the instance's own description.
type AnnounceArgs struct{ Instance infra.Instance }

// AnnounceReply is empty.
type AnnounceReply struct{}

// Service is the RPC service "Members" of an entry.
type Service struct{ view *View }

// NewService returns the service that feeds v.
func NewService(v *View) *Service { return &Service{view: v} }

// Announce takes in the caller's word on itself.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	s.view.ApplyAnnouncement(args.Instance, time.Now())
	return nil
}

package membership

import (
	"time"

	"dandelionrelay/infra"
)

// ServiceName is the name of the RPC service that Service implements.
const ServiceName = "Members"

// MethodAnnounce is the RPC by which an instance announces that it is serving or
// leaving, before the platform's list shows it.
const MethodAnnounce = "Members.Announce"

// AnnounceArgs holds the caller's own instance.
type AnnounceArgs struct{ Instance infra.Instance }

// AnnounceReply is empty.
type AnnounceReply struct{}

// Service implements the RPC service of an entry that receives announcements.
type Service struct{ view *View }

// NewService returns a Service that applies announcements to v.
func NewService(v *View) *Service { return &Service{view: v} }

// Announce applies the announcement of the calling instance. It never fails.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	s.view.ApplyAnnouncement(args.Instance, time.Now())
	return nil
}

package quarantine

import (
	"github.com/cespare/xxhash/v2"
)

// Names of the RPC service and of its methods.
const (
	ServiceName = "Quarantine"
	MethodTell  = "Quarantine.Tell"
	MethodSync  = "Quarantine.Sync"
)

// TellArgs carries events that changed the table of the sender.
type TellArgs struct{ Events []Event }

// TellReply is empty.
type TellReply struct{}

// SyncArgs carries the checksum of the caller's table.
type SyncArgs struct{ Sum uint64 }

// SyncReply carries all events of the replying entry's table if the checksums
// differ.
type SyncReply struct{ Events []Event }

// Service is the RPC service of an entry's Node.
type Service struct{ node *Node }

// RPC returns the RPC service of n, to be registered as ServiceName.
func (n *Node) RPC() *Service { return &Service{node: n} }

// Tell merges the events of a peer.
func (s *Service) Tell(args TellArgs, _ *TellReply) error {
	s.node.merge(args.Events, false)
	return nil
}

// Sync replies with all events if the caller's table differs from this one.
func (s *Service) Sync(args SyncArgs, reply *SyncReply) error {
	if args.Sum != s.node.table.Checksum() {
		reply.Events = s.node.table.Events()
	}
	return nil
}

// Checksum returns a number that is equal for tables that hold the same events,
// whatever their order.
func (t *Table) Checksum() uint64 {
	var sum uint64
	for _, e := range t.Events() {
		h := xxhash.New()
		_, _ = h.Write(e.Digest[:])
		_, _ = h.WriteString(e.Attempt)
		if e.Alone {
			_, _ = h.WriteString("alone")
		}
		if e.Cleared {
			_, _ = h.WriteString("cleared")
		}
		if e.Unconfirmed {
			_, _ = h.WriteString("unconfirmed")
		}
		if len(e.Parts) > 0 {
			_, _ = h.WriteString("parts")
		}
		for _, part := range e.Sound {
			_, _ = h.WriteString(part)
		}
		sum ^= h.Sum64()
	}
	return sum
}

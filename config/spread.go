package config

import (
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// Names of the RPC methods of the configuration service.
const (
	ServiceName  = "Config"
	MethodFollow = "Config.Follow"
	MethodView   = "Config.View"
)

// maxPollWait bounds how long a follower's call is held.
const maxPollWait = 10 * time.Second

// FollowArgs asks an entry for what came after an offset.
type FollowArgs struct {
	Through infra.Offset  // last offset applied by the caller
	Known   bool          // whether the caller has a state to apply records to
	Wait    time.Duration // how long to wait for something new
}

// FollowReply is what came after an offset: either records, or the whole
// state if the records are not kept any more.
type FollowReply struct {
	Records []infra.Record // in order, without gaps
	Full    []byte         // JSON of a Full, or nil
	Age     time.Duration  // since the answering entry knew that its state was the log's
}

// ViewArgs asks an entry for the part of the state that concerns a sidecar.
type ViewArgs struct {
	Deployment string
	Version    uint64 // highest at which the caller saw the view
	Hash       Hash   // of the view that the caller has
	Wait       time.Duration
}

// ViewReply is a new view, or nothing if it did not change.
type ViewReply struct {
	Version uint64
	State   []byte // JSON of a State, or nil if the view is as before
	Change  string // id of the last change, with State
}

// Service answers peers that follow the configuration. It is registered
// under ServiceName.
type Service struct{ follower *Follower }

// NewService returns the service of f.
func NewService(f *Follower) *Service { return &Service{follower: f} }

// Follow returns what came after an offset, or nothing after the wait.
func (s *Service) Follow(args FollowArgs, reply *FollowReply) error {
	f := s.follower
	f.waitUntil(args.Wait, func() bool { return f.replica.Known() && (!args.Known || f.replica.Through() > args.Through) })
	f.mu.Lock()
	defer f.mu.Unlock()
	reply.Age = f.age(time.Now())
	if !f.replica.Known() {
		return nil
	}
	if args.Known {
		if records, ok := f.replica.RecordsAfter(args.Through); ok {
			reply.Records = records
			return nil
		}
	}
	b, err := json.Marshal(f.replica.FullState())
	reply.Full = b
	return err
}

// View returns the part of the state that concerns a deployment, once this
// entry has a newer version in which it differs, or nothing after the wait.
func (s *Service) View(args ViewArgs, reply *ViewReply) error {
	f := s.follower
	var view *State
	var seen uint64
	f.waitUntil(args.Wait, func() bool {
		if v := f.replica.Version(); v != seen {
			seen = v
			view = f.replica.State().ViewOf(args.Deployment)
		}
		return seen > args.Version && HashOf(view) != args.Hash
	})
	reply.Version = seen
	if seen <= args.Version || HashOf(view) == args.Hash {
		return nil
	}
	b, err := json.Marshal(view)
	reply.State = b
	f.mu.Lock()
	defer f.mu.Unlock()
	reply.Change = f.replica.LastChangeID()
	return err
}

// ViewOf returns what the sidecars of a deployment need to know: their
// deployment and the fair share weights of customers. It holds no keys.
func (s *State) ViewOf(deployment string) *State {
	view := &State{Customers: make(map[string]Customer), Deployments: make(map[string]Deployment)}
	if d, ok := s.Deployments[deployment]; ok {
		view.Deployments[deployment] = d
	}
	for id, c := range s.Customers {
		if c.Weight != 0 && c.Weight != 1 {
			view.Customers[id] = Customer{Weight: c.Weight}
		}
	}
	return view
}

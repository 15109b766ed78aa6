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

// maxPollWait is the maximum time for which a long poll waits for a newer state.
const maxPollWait = 10 * time.Second

// FollowArgs are the arguments of Service.Follow.
type FollowArgs struct {
	Through infra.Offset  // last offset applied by the caller
	Known   bool          // whether the caller has a state to apply records to
	Wait    time.Duration // how long to wait for a newer state
}

// FollowReply is the reply of Service.Follow: the records after
// FollowArgs.Through, or the complete state if the caller has none or the records
// are no longer kept.
type FollowReply struct {
	Records []infra.Record // in order, without gaps
	Full    []byte         // JSON of a FullState, or nil
	Age     time.Duration  // time since the responding entry last confirmed its state with the log; negative if never
}

// ViewArgs are the arguments of Service.View.
type ViewArgs struct {
	Deployment string
	Version    uint64 // highest version at which the caller got the view
	Hash       Hash   // of the view that the caller has
	Wait       time.Duration
}

// ViewReply is the reply of Service.View: a new view, or none if it did not
// change.
type ViewReply struct {
	Version uint64
	State   []byte // JSON of a State, or nil if the view did not change
	Change  string // ID of the last change; set only together with State
}

// Service is the RPC service for peers that follow the configuration. It is
// registered as ServiceName.
type Service struct{ follower *Follower }

// NewService returns the service of f.
func NewService(f *Follower) *Service { return &Service{follower: f} }

// Follow returns the records or the state after args.Through. If there is
// nothing new within args.Wait, the reply holds only the age.
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

// View returns the part of the state that concerns a deployment, as soon as
// this entry has a newer version in which it differs. If there is none within
// args.Wait, the reply holds only the version.
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

// ViewOf returns the part of the state that the sidecars of a deployment need:
// their deployment, the fair share weights of the customers whose weight is not 1, and
// the evacuations. It contains no keys.
func (s *State) ViewOf(deployment string) *State {
	view := &State{Customers: make(map[string]Customer), Deployments: make(map[string]Deployment), Evacuations: s.Evacuations}
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

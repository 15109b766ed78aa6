// Package config holds the desired state of the system: its types, its strict
// loading from files, its versions and the deltas between them, and the Follower
// and the Viewer that keep each process up to date with the configuration log.
package config

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dandelionrelay/locality"
)

// State is the complete desired state. It is read-only once published.
type State struct {
	Customers   map[string]Customer   `json:"customers"`
	Keys        map[string]Key        `json:"keys"`
	Routes      map[string]Route      `json:"routes"`
	Deployments map[string]Deployment `json:"deployments"`

	// Evacuations is the set of evacuated data centres: nothing more may be sent to
	// their endpoints.
	Evacuations map[string]bool `json:"evacuations,omitempty"`
}

// Customer holds the limits and the weight of one customer of the system.
type Customer struct {
	Rate   float64 `json:"rate"`             // requests per second over the whole fleet
	Burst  float64 `json:"burst"`            // requests
	Weight float64 `json:"weight,omitempty"` // fair share weight; 0 means 1

	Homes locality.Homes `json:"homes,omitempty"` // regions in which its requests may run; empty means any
}

// Key is one credential of a customer. Only its digest is stored.
type Key struct {
	Customer  string `json:"customer"`
	Digest    string `json:"digest,omitempty"` // lower-case hex SHA-256 of the key; always set in a state in force
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Route maps requests to a deployment: chat and completion calls by Model,
// calls to plain services by PathPrefix. Exactly one of the two is set.
type Route struct {
	Model      string   `json:"model,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
	Deployment string   `json:"deployment"`
	Open       bool     `json:"open,omitempty"`       // requests need no key
	Idempotent bool     `json:"idempotent,omitempty"` // requests may be retried
	Timeout    Duration `json:"timeout,omitempty"`    // 0 means DefaultTimeout
	Customers  []string `json:"customers,omitempty"`  // who may use it; empty means all

	Homes locality.Homes `json:"homes,omitempty"` // regions in which its requests may run; empty means any

	// Provided holds rules that only a provider of complete states sets; nil
	// for routes from configuration files.
	Provided *ProvidedRoute `json:"-"`
}

// ProvidedRoute holds the rules of a route whose requests have opaque bodies.
type ProvidedRoute struct {
	Host         string          // callers' host name, lower case, without port
	Resumable    bool            // an interrupted response may be resumed at another endpoint
	Stream       bool            // responses are event streams
	MaxEndpoints int             // endpoints that may run one request; at least 1
	Goal         time.Duration   // target for the time to the first byte of a response
	GapGoal      time.Duration   // target for the longest gap between events of a stream; 0 means none
	Split        []WeightedShare // deployments by weight; empty means only Route.Deployment
	Batch        *BatchPolicy    // nil unless the route takes batch jobs
}

// WeightedShare is the part of a route's requests that goes to a deployment.
type WeightedShare struct {
	Deployment string
	Weight     int
}

// BatchPolicy bounds the batch jobs of a route. Times count from the first
// submission of a job.
type BatchPolicy struct {
	Due       time.Duration // deadline for all results
	Retain    time.Duration // time from which items without a result may be failed
	MaxTokens int           // limit on the tokens of one customer's waiting items; 0 means no limit
	Attempts  int           // failed attempts at endpoints after which an item is failed
}

// Kind is the kind of the endpoints of a deployment.
type Kind string

// Kinds of endpoints.
const (
	KindModel Kind = "model" // a model engine with continuous batching
	KindPlain Kind = "plain" // any other HTTP service
)

// Deployment describes a group of identical endpoints.
type Deployment struct {
	Kind         Kind   `json:"kind"`
	Model        string `json:"model,omitempty"`
	Slots        int    `json:"slots"`                   // requests that one endpoint runs concurrently
	ObeysFencing bool   `json:"obeys_fencing,omitempty"` // rejects orders with an outdated fencing token
	CanResume    bool   `json:"can_resume,omitempty"`    // can resume a stream from given tokens
	// FirstTokenRatio bounds the time to the first token of online requests,
	// as a multiple of the 99th percentile without batch load. The bound is met
	// as far as preempting batch items allows; 0 means DefaultFirstTokenRatio.
	FirstTokenRatio float64 `json:"first_token_ratio,omitempty"`
	// ColdRate is the number of requests a second that one endpoint tolerates while it is
	// cold, and ColdTime how long it is cold after its start. If either is 0, endpoints are
	// never cold.
	ColdRate float64  `json:"cold_rate,omitempty"`
	ColdTime Duration `json:"cold_time,omitempty"`
}

// Default and limits of Deployment.FirstTokenRatio. At the maximum batch items
// are preempted only when no slot is free.
const (
	DefaultFirstTokenRatio = 0.9
	MinFirstTokenRatio     = 0.8
	MaxFirstTokenRatio     = 10
)

// FirstTokenBound returns FirstTokenRatio, or DefaultFirstTokenRatio if it is 0.
func (d Deployment) FirstTokenBound() float64 {
	if d.FirstTokenRatio == 0 {
		return DefaultFirstTokenRatio
	}
	return d.FirstTokenRatio
}

// HasColdRate reports whether endpoints of the deployment are limited while they are cold.
func (d Deployment) HasColdRate() bool { return d.ColdRate > 0 && d.ColdTime > 0 }

// MinColdRate is the minimum of Deployment.ColdRate unless it is 0. The time between two
// requests overflows at far lower rates.
const MinColdRate = 0.001

// MaxColdTime is the maximum of Deployment.ColdTime.
const MaxColdTime = Duration(3600e9)

// DefaultTimeout is the timeout of a request on a route that sets none.
const DefaultTimeout = 60 * time.Second

// Duration is a time.Duration written in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Snapshot is one version of the desired state with its lookup indexes. It is
// immutable.
type Snapshot struct {
	Version  uint64
	State    *State
	ChangeID string              // ID of the last change in this version; empty if unknown
	keys     map[string]string   // digest -> key ID
	models   map[string]string   // model -> route ID
	paths    []string            // IDs of the routes with a path prefix, longest prefix first
	hosts    map[string][]string // host -> its route IDs, longest prefix first
}

// NewSnapshot returns the indexed Snapshot of state, which the caller must not
// modify afterwards.
func NewSnapshot(version uint64, state *State) *Snapshot {
	s := &Snapshot{
		Version: version,
		State:   state,
		keys:    make(map[string]string, len(state.Keys)),
		models:  make(map[string]string, len(state.Routes)),
		hosts:   make(map[string][]string),
	}
	for id, k := range state.Keys {
		s.keys[k.Digest] = id
	}
	for id, r := range state.Routes {
		if r.Model != "" {
			s.models[r.Model] = id
			continue
		}
		if r.Provided != nil {
			s.hosts[r.Provided.Host] = append(s.hosts[r.Provided.Host], id)
			continue
		}
		s.paths = append(s.paths, id)
	}
	s.sortByPrefix(s.paths)
	for _, ids := range s.hosts {
		s.sortByPrefix(ids)
	}
	return s
}

// sortByPrefix orders routes by their path prefix, the longest first.
func (s *Snapshot) sortByPrefix(ids []string) {
	slices.SortFunc(ids, func(a, b string) int {
		pa, pb := s.State.Routes[a].PathPrefix, s.State.Routes[b].PathPrefix
		if len(pa) != len(pb) {
			return len(pb) - len(pa)
		}
		return strings.Compare(a, b)
	})
}

// RouteByHost returns the provided route of host with the longest path prefix
// that is a string prefix of path.
func (s *Snapshot) RouteByHost(host, path string) (id string, route Route, ok bool) {
	for _, id := range s.hosts[host] {
		r := s.State.Routes[id]
		if strings.HasPrefix(path, r.PathPrefix) {
			return id, r, true
		}
	}
	return "", Route{}, false
}

// KeyByDigest returns the key with the given digest, withdrawn or not.
func (s *Snapshot) KeyByDigest(digest string) (id string, key Key, ok bool) {
	id, ok = s.keys[digest]
	return id, s.State.Keys[id], ok
}

// RouteByModel returns the route of a model.
func (s *Snapshot) RouteByModel(model string) (id string, route Route, ok bool) {
	id, ok = s.models[model]
	return id, s.State.Routes[id], ok
}

// RouteByPath returns the route with the longest path prefix that matches
// whole segments of path.
func (s *Snapshot) RouteByPath(path string) (id string, route Route, ok bool) {
	for _, id := range s.paths {
		r := s.State.Routes[id]
		if hasPathPrefix(path, strings.TrimRight(r.PathPrefix, "/")) {
			return id, r, true
		}
	}
	return "", Route{}, false
}

// Homes returns the regions in which a customer's requests on a route may run: the homes of
// both, of which each list binds on its own. It returns nil if neither has any.
func (s *Snapshot) Homes(route Route, customer string) []locality.Homes {
	var homes []locality.Homes
	if len(route.Homes) > 0 {
		homes = append(homes, route.Homes)
	}
	if c := s.State.Customers[customer]; len(c.Homes) > 0 {
		homes = append(homes, c.Homes)
	}
	return homes
}

// Source provides the snapshot in force.
type Source interface {
	// Current returns the snapshot in force. It is never nil; before the first
	// one is known it is the empty state at version 0.
	Current() *Snapshot
}

// Holder is a Source whose snapshot is replaced atomically. The zero value
// holds the empty state at version 0.
type Holder struct{ current atomic.Pointer[Snapshot] }

var emptySnapshot = NewSnapshot(0, &State{})

// Current implements Source.
func (h *Holder) Current() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return emptySnapshot
}

// Set makes s the snapshot in force.
func (h *Holder) Set(s *Snapshot) { h.current.Store(s) }

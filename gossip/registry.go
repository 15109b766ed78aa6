package gossip

import (
	"encoding/json"
	"sync"
	"time"

	"dandelionrelay/boottime"
	"dandelionrelay/keyedlog"
)

// Member is one entry as it registered itself.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"` // drawn at each start of its process
	Address     string `json:"address"`     // ip:port for datagrams
	DataCentre  string `json:"data_centre"`
}

// Times of registrations.
const (
	// RegistrationInterval is the interval of registrations.
	RegistrationInterval = 1200 * time.Millisecond
	// silentFor is three missed registrations: the entry may be gone.
	silentFor = 3*RegistrationInterval + 400*time.Millisecond
	// expiredAfter is when a silent entry counts as gone for good.
	expiredAfter = 10 * time.Second
)

// registered is a Member with when its newest registration was read.
type registered struct {
	Member
	seen time.Duration
}

// Registry knows all registered entries. It is the keyedlog.State of the
// partition that holds them.
type Registry struct {
	clock  boottime.Clock
	bad    func(key string, err error)
	notify func()

	mu      sync.Mutex
	members map[string]registered
	loaded  bool
	changes int // of who is registered
}

// NewRegistry returns an empty Registry. bad is called for each record that
// can't be read, and notify once registrations were read anew; neither may
// block.
func NewRegistry(clock boottime.Clock, bad func(key string, err error), notify func()) *Registry {
	return &Registry{clock: clock, bad: bad, notify: notify, members: make(map[string]registered)}
}

// Reset implements keyedlog.State.
func (r *Registry) Reset(records []keyedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = make(map[string]registered)
	r.loaded = true
	r.changes++
	r.apply(records)
	r.notify()
}

// Apply implements keyedlog.State.
func (r *Registry) Apply(records []keyedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(records)
}

func (r *Registry) apply(records []keyedlog.Record) {
	now := r.clock()
	for _, record := range records {
		if record.Value == nil {
			delete(r.members, record.Key)
			r.changes++
			continue
		}
		var m Member
		if err := json.Unmarshal(record.Value, &m); err != nil || m.Name != record.Key {
			r.bad(record.Key, err)
			continue
		}
		if r.members[m.Name].Member != m {
			r.changes++
		}
		r.members[m.Name] = registered{Member: m, seen: now}
	}
}

// Loaded reports whether the registrations were read.
func (r *Registry) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Members returns the entries that are not gone for good.
func (r *Registry) Members() []Member {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Member
	for _, m := range r.members {
		if now-m.seen < expiredAfter {
			list = append(list, m.Member)
		}
	}
	return list
}

// Generation counts how often it has changed who is registered, and where.
func (r *Registry) Generation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// find returns the member of that name and for how long it has been silent.
func (r *Registry) find(name string) (Member, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	return m.Member, r.clock() - m.seen, ok
}

// EncodeMember returns the record that registers m.
func EncodeMember(m Member) (keyedlog.Record, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return keyedlog.Record{}, err
	}
	return keyedlog.Record{Key: m.Name, Value: value}, nil
}

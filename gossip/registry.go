package gossip

import (
	"encoding/json"
	"sync"
	"time"

	"dandelionrelay/boottime"
	"dandelionrelay/keyedlog"
)

// Member is the registration of one entry.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"` // random, drawn at each start of the process
	Address     string `json:"address"`     // ip:port for datagrams
	DataCentre  string `json:"data_centre"`
}

// Timing of registrations.
const (
	// RegistrationInterval is the interval at which each entry registers again.
	RegistrationInterval = 1200 * time.Millisecond
	// registrationTimeout is the time without a registration after which an entry may
	// be down: three missed registrations.
	registrationTimeout = 3*RegistrationInterval + 400*time.Millisecond
	// memberExpiry is the time without a registration or a datagram after which an
	// entry is no longer a member. Outages in which this entry reads no registrations
	// do not count.
	memberExpiry = 15 * time.Second
	// maxReadGap is the time between two reads of registrations above which there was
	// an outage: each entry registers more often.
	maxReadGap = 3 * time.Second
)

// registration is a Member with the clock at which its newest record was read, and the
// clock from which memberExpiry counts: the later of that and its newest datagram, plus
// the outages since.
type registration struct {
	Member
	lastRead    time.Duration
	expiresFrom time.Duration
}

// Registry holds all registered entries. It is the keyedlog.State of the partition
// of registrations. Its methods are safe for concurrent use.
type Registry struct {
	clock       boottime.Clock
	onBadRecord func(key string, err error)
	onReset     func()

	mu         sync.Mutex
	members    map[string]registration
	loaded     bool
	lastRead   time.Duration // clock at the newest read of registrations
	generation int           // counts changes of the registered members
}

// NewRegistry returns an empty Registry. onBadRecord is called for each record that
// can't be decoded or whose key is not the member's name (err is nil then), and onReset
// at the end of each Reset. Both are called with the Registry's lock held and must not
// block.
func NewRegistry(clock boottime.Clock, onBadRecord func(key string, err error), onReset func()) *Registry {
	return &Registry{clock: clock, onBadRecord: onBadRecord, onReset: onReset, members: make(map[string]registration)}
}

// Reset implements keyedlog.State.
func (r *Registry) Reset(records []keyedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = make(map[string]registration)
	r.loaded = true
	r.lastRead = r.clock()
	r.generation++
	r.apply(records)
	r.onReset()
}

// Apply implements keyedlog.State.
func (r *Registry) Apply(records []keyedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(records)
}

func (r *Registry) apply(records []keyedlog.Record) {
	now := r.clock()
	r.discountOutage(now)
	for _, record := range records {
		if record.Value == nil {
			delete(r.members, record.Key)
			r.generation++
			continue
		}
		var m Member
		if err := json.Unmarshal(record.Value, &m); err != nil || m.Name != record.Key {
			r.onBadRecord(record.Key, err)
			continue
		}
		if r.members[m.Name].Member != m {
			r.generation++
		}
		r.members[m.Name] = registration{Member: m, lastRead: now, expiresFrom: now}
	}
}

// discountOutage extends the registrations of all members by the time since the newest
// read if there was an outage: entries that could not register meanwhile have time to do
// so. The caller holds the lock.
func (r *Registry) discountOutage(now time.Duration) {
	gap := now - r.lastRead
	r.lastRead = now
	if gap <= maxReadGap {
		return
	}
	for name, m := range r.members {
		m.expiresFrom = min(now, m.expiresFrom+gap)
		r.members[name] = m
	}
}

// recordContact records a datagram of an entry. It extends the registration of the same
// incarnation, as an entry that can't reach the log is still a member.
func (r *Registry) recordContact(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if !ok || m.Incarnation != incarnation {
		return
	}
	m.expiresFrom = r.clock()
	r.members[name] = m
}

// Loaded reports whether the registrations have been read at least once.
func (r *Registry) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Members returns, in no particular order, the members that have not expired; see
// memberExpiry. None expires while no registrations are read.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if now-r.lastRead > maxReadGap {
		now = r.lastRead
	}
	var list []Member
	for _, m := range r.members {
		if now-m.expiresFrom < memberExpiry {
			list = append(list, m.Member)
		}
	}
	return list
}

// Generation returns a number that grows with each change of the registered members
// or their data, such as the address.
func (r *Registry) Generation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// find returns the member with the given name and the time since its newest
// registration was read; false if there is none.
func (r *Registry) find(name string) (Member, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	return m.Member, r.clock() - m.lastRead, ok
}

// Address returns the address of a registered entry.
func (r *Registry) Address(name string) (string, bool) {
	m, _, ok := r.find(name)
	return m.Address, ok
}

// Member returns the registration of an entry.
func (r *Registry) Member(name string) (Member, bool) {
	m, _, ok := r.find(name)
	return m, ok
}

// EncodeMember returns the record that registers m, with the name as its key.
func EncodeMember(m Member) (keyedlog.Record, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return keyedlog.Record{}, err
	}
	return keyedlog.Record{Key: m.Name, Value: value}, nil
}

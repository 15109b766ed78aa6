package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
)

// Silences finds out whether endpoints crashed that fell silent and can't be reached, as far
// as this entry has seen it. An endpoint that crashed, or lost its power, registers no more:
// its registration expires, or a new incarnation replaces it. One that is cut off from this
// entry alone goes on registering. Until it is known the silences count as unconfirmed. It is
// safe for concurrent use.
type Silences struct {
	tracker SilenceTracker
	clock   boottime.Clock
	log     zerolog.Logger
	ended   *prometheus.CounterVec

	size atomic.Int64 // of pending

	mu      sync.Mutex
	listed  func(endpoint string, incarnation int64) bool // nil: no list was set yet
	pending map[string]*silence                           // by incarnation of the endpoint
}

// silence is an endpoint that fell silent.
type silence struct {
	since   time.Duration    // clock at the first report
	crashes map[Digest]Crash // by request
}

// silenceEnd says how a silence ended. Its values are label values of
// relay_endpoint_silences_total.
type silenceEnd string

const (
	silenceCrash     silenceEnd = "crash"     // the registration is gone
	silenceAlive     silenceEnd = "alive"     // the endpoint has registered again
	silenceUndecided silenceEnd = "undecided" // neither was seen within unconfirmedDuration
)

// maxSilentRequests bounds the requests that are held for one silent endpoint.
const maxSilentRequests = 64

// NewSilences returns an empty Silences.
func NewSilences(t SilenceTracker, clock boottime.Clock, log zerolog.Logger, reg prometheus.Registerer) *Silences {
	s := &Silences{tracker: t, clock: clock, log: log, pending: make(map[string]*silence)}
	s.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_endpoint_silences_total",
		Help: "Endpoints that fell silent with requests in flight and could not be reached, by what was found: crash, alive or undecided.",
	}, []string{"found"})
	reg.MustRegister(s.ended)
	for _, end := range []silenceEnd{silenceCrash, silenceAlive, silenceUndecided} {
		s.ended.WithLabelValues(string(end))
	}
	return s
}

// Empty reports whether no silence is pending.
func (s *Silences) Empty() bool { return s.size.Load() == 0 }

// Report records that the endpoint of c fell silent and can't be reached with the request of
// c in flight.
func (s *Silences) Report(c Crash) {
	s.mu.Lock()
	gone := s.listed != nil && !s.listed(c.Endpoint, c.Incarnation)
	if !gone {
		s.add(c)
	}
	s.mu.Unlock()
	if gone {
		s.tracker.RecordCrash(c.lost())
		return
	}
	s.tracker.RecordSilence(c)
}

// add adds c to the pending silences and drops those that are too old to be decided. The
// caller holds the lock.
func (s *Silences) add(c Crash) {
	now := s.clock()
	for id, p := range s.pending {
		if now-p.since >= unconfirmedDuration {
			s.end(id, silenceUndecided)
		}
	}
	p := s.pending[c.incarnation()]
	if p == nil {
		p = &silence{since: now, crashes: make(map[Digest]Crash)}
		s.pending[c.incarnation()] = p
		s.size.Store(int64(len(s.pending)))
	}
	if len(p.crashes) < maxSilentRequests {
		p.crashes[c.Digest] = c
	}
}

// end removes a pending silence and returns the crashes that were reported with it. The caller
// holds the lock.
func (s *Silences) end(incarnation string, found silenceEnd) []Crash {
	var crashes []Crash
	for _, c := range s.pending[incarnation].crashes {
		crashes = append(crashes, c)
	}
	delete(s.pending, incarnation)
	s.size.Store(int64(len(s.pending)))
	s.ended.WithLabelValues(string(found)).Inc()
	s.log.Info().Str("endpoint", incarnation).Str("found", string(found)).Int("requests", len(crashes)).Msg("silence of an endpoint ended")
	return crashes
}

// Registered records that an endpoint has registered. readFrom is the clock at the start of a
// read that had reached the end of the registrations before this one was appended.
func (s *Silences) Registered(endpoint string, incarnation int64, readFrom time.Duration) {
	id := Crash{Endpoint: endpoint, Incarnation: incarnation}.incarnation()
	s.mu.Lock()
	p := s.pending[id]
	if p == nil || readFrom < p.since {
		s.mu.Unlock()
		return
	}
	alive := s.end(id, silenceAlive)
	s.mu.Unlock()
	for _, c := range alive {
		s.tracker.WithdrawSilence(c)
	}
}

// SetListed replaces the list of registered endpoints, as a function that reports whether an
// incarnation is listed.
func (s *Silences) SetListed(listed func(endpoint string, incarnation int64) bool) {
	var crashed []Crash
	s.mu.Lock()
	s.listed = listed
	for id, p := range s.pending {
		if c := anyOf(p.crashes); !listed(c.Endpoint, c.Incarnation) {
			crashed = append(crashed, s.end(id, silenceCrash)...)
		}
	}
	s.mu.Unlock()
	for _, c := range crashed {
		s.tracker.RecordCrash(c.lost())
	}
}

// anyOf returns one of the crashes, all of which are of one endpoint.
func anyOf(crashes map[Digest]Crash) Crash {
	for _, c := range crashes {
		return c
	}
	return Crash{}
}

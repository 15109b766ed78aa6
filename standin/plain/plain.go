// Package plain is a stand-in for a plain HTTP service behind a route: it
// counts its calls, and can be slow or lose its answers.
package plain

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"dandelionrelay/api"
)

// MaxBodyBytes is the largest request that is read.
const MaxBodyBytes = 8 << 20

// Call identifies a kind of call.
type Call struct {
	Path string
	ID   string // X-Request-Id
}

// Response is the body of an answer.
type Response struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	ID     string `json:"id"`
	Body   string `json:"body"` // as received
}

// Service is a plain service in memory. It is an http.Handler.
type Service struct {
	mu     sync.Mutex
	calls  map[Call]int
	delay  time.Duration
	lose   bool
	header http.Header
}

// New returns a service.
func New() *Service {
	return &Service{calls: make(map[Call]int)}
}

// SetDelay makes each later call take d.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLoseResponses makes each later call run and then cut its connection.
func (s *Service) SetLoseResponses(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = on
}

// Count returns how often a call was started.
func (s *Service) Count(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// Calls returns how often each call was started.
func (s *Service) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Total returns the number of calls started.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, count := range s.calls {
		n += count
	}
	return n
}

// LastHeader returns the headers of the last call.
func (s *Service) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		api.WriteJSON(w, http.StatusOK, struct{}{})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, "body unreadable", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	delay, lose := s.start(Call{Path: r.URL.Path, ID: id}, r.Header)
	if !wait(r, delay) || lose {
		panic(http.ErrAbortHandler)
	}
	api.WriteJSON(w, http.StatusOK, Response{Method: r.Method, Path: r.URL.Path, ID: id, Body: string(body)})
}

func (s *Service) start(c Call, h http.Header) (delay time.Duration, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c]++
	s.header = h.Clone()
	return s.delay, s.lose
}

// wait returns false if the client goes away within d.
func wait(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

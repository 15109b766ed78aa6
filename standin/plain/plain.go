// Package plain is a stand-in for a plain HTTP service behind a route: it counts its
// calls, can delay them, and can drop the connection instead of responding.
package plain

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"dandelionrelay/api"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// Call is the key by which calls are counted.
type Call struct {
	Path string
	ID   string // X-Request-Id
}

// Response is the body of a response.
type Response struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	ID     string `json:"id"`
	Body   string `json:"body"` // as received
}

// Service is a plain service in memory. It is an http.Handler.
type Service struct {
	mu           sync.Mutex
	calls        map[Call]int
	delay        time.Duration
	loseResponse bool
	header       http.Header
}

// New returns a service without delay that responds to every call.
func New() *Service {
	return &Service{calls: make(map[Call]int)}
}

// SetDelay delays the response to each later call by d.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLoseResponses makes the service drop the connection of each later call instead of
// responding while on is true. The calls still run and are counted.
func (s *Service) SetLoseResponses(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponse = on
}

// Count returns the number of times that the call c was started.
func (s *Service) Count(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// Calls returns the number of times that each call was started.
func (s *Service) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Total returns the number of calls that were started.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, count := range s.calls {
		n += count
	}
	return n
}

// LastHeader returns the request header of the last call.
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
	delay, loseResponse := s.recordCall(Call{Path: r.URL.Path, ID: id}, r.Header)
	if !wait(r, delay) || loseResponse {
		panic(http.ErrAbortHandler)
	}
	api.WriteJSON(w, http.StatusOK, Response{Method: r.Method, Path: r.URL.Path, ID: id, Body: string(body)})
}

func (s *Service) recordCall(c Call, h http.Header) (delay time.Duration, loseResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c]++
	s.header = h.Clone()
	return s.delay, s.loseResponse
}

// wait waits for d. It returns false if the client disconnects first.
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

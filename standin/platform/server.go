package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/infra/client"
)

// PathFaults is the URL path at which a PUT of a FaultSettings document replaces
// the injected faults.
const PathFaults = "/standin/faults"

// maxRecordBytes is the maximum size of one record.
const maxRecordBytes = 8 << 20

// FaultSettings is the document that replaces the injected faults. Its fields have
// the meaning of those of Faults.
type FaultSettings struct {
	Down       bool    `json:"down,omitempty"`
	LoseAnswer float64 `json:"lose_answer,omitempty"` // probability
	Refuse     float64 `json:"refuse,omitempty"`      // probability
	DelayMS    int     `json:"delay_ms,omitempty"`    // milliseconds
	ListDown   bool    `json:"list_down,omitempty"`   // reads of the instance list fail
}

// Server serves a stand-in platform over HTTP.
type Server struct {
	log            *Log
	instances      *Instances
	loadsPerMinute int
	mux            *http.ServeMux
}

// NewServer returns a server for log and instances. The weight store reports that
// it admits loadsPerMinute model loads per minute.
func NewServer(log *Log, instances *Instances, loadsPerMinute int) *Server {
	s := &Server{log: log, instances: instances, loadsPerMinute: loadsPerMinute, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+client.PathRecords, s.append)
	s.mux.HandleFunc("GET "+client.PathRecords, s.read)
	s.mux.HandleFunc("GET "+client.PathBounds, s.bounds)
	s.mux.HandleFunc("GET "+client.PathInstances, s.list)
	s.mux.HandleFunc("PUT "+client.PathInstances, s.setInstances)
	s.mux.HandleFunc("GET "+client.PathWeights, s.weights)
	s.mux.HandleFunc("PUT "+PathFaults, s.setFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.log.Append(r.Context(), r.FormValue("stream"), r.FormValue("id"), data)
	respond(w, client.AppendResponse{Offset: offset}, err)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("limit"))
	wait, err3 := strconv.Atoi(r.FormValue("wait_ms"))
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitFor := time.Duration(wait) * time.Millisecond
	records, err := s.log.Read(r.Context(), r.FormValue("stream"), infra.Offset(from), limit, waitFor)
	respond(w, client.ReadResponse{Records: records}, err)
}

func (s *Server) bounds(w http.ResponseWriter, r *http.Request) {
	oldest, next, err := s.log.Bounds(r.Context(), r.FormValue("stream"))
	respond(w, client.Bounds{Oldest: oldest, Next: next}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.instances.List(r.Context())
	if err != nil {
		respond(w, nil, err)
		return
	}
	// Marshalling an InstanceList does not fail: it holds only strings.
	body, _ := json.Marshal(client.InstanceList{Instances: list})
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) weights(w http.ResponseWriter, _ *http.Request) {
	respond(w, client.WeightsResponse{LoadsPerMinute: s.loadsPerMinute}, nil)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var list client.InstanceList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.instances.Set(list.Instances)
	respond(w, list, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.SetFaults(Faults{
		Down:       f.Down,
		LoseAnswer: f.LoseAnswer,
		Refuse:     f.Refuse,
		Delay:      time.Duration(f.DelayMS) * time.Millisecond,
	})
	s.instances.SetDown(f.ListDown)
	respond(w, f, nil)
}

// respond writes v as JSON, or the status code for err if it is not nil.
func respond(w http.ResponseWriter, v any, err error) {
	var expired *infra.ExpiredError
	switch {
	case errors.As(err, &expired):
		api.WriteJSON(w, http.StatusGone, client.Bounds{Oldest: expired.Oldest})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		api.WriteJSON(w, http.StatusOK, v)
	}
}

// LoadsPerMinute is an infra.Weights with a fixed rate of model loads.
type LoadsPerMinute int

// LoadsPerMinute implements infra.Weights.
func (n LoadsPerMinute) LoadsPerMinute(context.Context) (int, error) { return int(n), nil }

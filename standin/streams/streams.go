// Package streams is a stand-in for an endpoint that responds with event streams,
// with fault injection. It works in a testing/synctest bubble.
package streams

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how the endpoint handles one request. The zero value sends a complete
// response.
type Behaviour struct {
	Status     int  // other than 0 and 200: the response has this status and no events
	NotRun     bool // reject the request as not run, with Status
	Unsigned   bool // leave out HeaderSigned
	AbortAfter int  // abort the connection after this number of events; 0: never
	Crash      bool // close the server and all its connections
	// CrashAfter, if not 0, sends the header, and then closes the server and all its
	// connections after this time.
	CrashAfter time.Duration
	StallAfter int // send nothing more after this number of events; 0: never
	// Unframed sends the response with neither a length nor chunks and ends it with the
	// connection. With EndAfter > 0 it ends inside the event after this number of events;
	// with EndAfter < 0 after the header.
	Unframed bool
	EndAfter int
	Endless  bool // send events until the connection is closed
	Restart  bool // begin with the first event, whatever the request says
	// Before is written to the connection before the response, which then ends with it.
	Before string
	// Insert is written into the body of an event stream after InsertAfter events. With
	// EndAfterInsert the response ends there, properly.
	Insert         string
	InsertAfter    int
	EndAfterInsert bool
	Body           string // of a response with a Status that is neither 0 nor 200
}

// Run is one request that the endpoint started to run.
type Run struct {
	ID         string
	FirstEvent int // number of the first event of the response
	At         time.Time
	Header     http.Header
	BodyBytes  int // bytes of the body returned by its first read, at most 65,536
}

// Endpoint is one endpoint. Its exported fields must be set before the first
// request.
type Endpoint struct {
	ID              string
	Version         string        // of its software; the data of its events begins with it
	Events          int           // in a complete response
	FirstEventDelay time.Duration // until the first event
	EventInterval   time.Duration // between events
	Slots           int           // maximum number of concurrent requests (0: 1); others wait in order of arrival
	// Limit, if not 0, is named in all responses as the number of requests a second that
	// the endpoint takes from all callers.
	Limit float64
	// Leaving, if it returns true, is named in a response. nil: it never is.
	Leaving func() bool
	// ColdLeft returns the time for which the endpoint remains cold, which is named in a
	// response. nil: none is named.
	ColdLeft func() time.Duration
	// BehaviourFor returns the behaviour for r, the nth request, counted from 1. If it
	// is nil, all responses are complete.
	BehaviourFor func(r *http.Request, n int) Behaviour

	server     *http.Server
	mu         sync.Mutex
	runs       []Run
	received   int
	running    int
	maxRunning int
	slots      chan struct{}
	initSlots  sync.Once
}

// Refusal returns a response that states that the request with the given ID has not run. An
// empty ID is left out.
func Refusal(id string) string {
	named := ""
	if id != "" {
		named = HeaderID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": 1\r\n" + named + "Content-Length: 0\r\n\r\n"
}

// Runs returns the requests started so far, the oldest first.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Received returns the number of requests received so far, those that did not run
// included.
func (e *Endpoint) Received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// MaxConcurrent returns the maximum number of requests that ran concurrently so far.
func (e *Endpoint) MaxConcurrent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxRunning
}

// Output returns the data of all events of the response to a request, joined by line
// feeds.
func (e *Endpoint) Output(id string) string {
	out := ""
	for n := 1; n <= e.Events; n++ {
		if n > 1 {
			out += "\n"
		}
		out += e.data(id, n)
	}
	return out
}

// data returns the data of event n of the response to a request.
func (e *Endpoint) data(id string, n int) string { return fmt.Sprintf("%s%s-%d", e.Version, id, n) }

// ResponseBody returns the body of the complete response to a request: its encoded events.
func (e *Endpoint) ResponseBody(id string) string {
	out := ""
	for n := 1; n <= e.Events; n++ {
		out += e.event(id, n)
	}
	return out
}

func (e *Endpoint) event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, e.data(id, n))
}

// Serve serves requests on l until the returned server is closed.
func (e *Endpoint) Serve(l net.Listener) *http.Server {
	var connections atomic.Int64
	s := &http.Server{Handler: e, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, fmt.Sprint(connections.Add(1)))
	}}
	e.server = s
	go func() { _ = s.Serve(l) }() // returns after Close
	return s
}

// Close closes the server of the endpoint and all its connections.
func (e *Endpoint) Close() { _ = e.server.Close() } // errors of closing sockets are irrelevant here

// connectionKey is the key of the context value with the name of a connection.
type connectionKey struct{}

// Connection returns the name of the connection of a request, unique at its endpoint.
func Connection(r *http.Request) string {
	name, _ := r.Context().Value(connectionKey{}).(string)
	return name
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.initSlots.Do(func() { e.slots = make(chan struct{}, max(e.Slots, 1)) })
	e.mu.Lock()
	e.received++
	n := e.received
	e.mu.Unlock()
	var b Behaviour
	if e.BehaviourFor != nil {
		b = e.BehaviourFor(r, n)
	}
	id := r.Header.Get(HeaderID)
	w.Header().Set(HeaderID, id)
	if e.Limit > 0 {
		w.Header().Set(HeaderLimit, strconv.FormatFloat(e.Limit, 'f', -1, 64))
	}
	if e.Leaving != nil && e.Leaving() {
		w.Header().Set(HeaderLeaving, "1")
	}
	if e.ColdLeft != nil {
		w.Header().Set(HeaderCold, strconv.FormatInt(e.ColdLeft().Milliseconds(), 10))
	}
	if b.NotRun {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(b.Status)
		return
	}
	if v := r.Header.Get(HeaderVersion); r.Header.Get(HeaderEndpoint) != e.ID || v != "" && v != e.Version {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.run(w, r, id, b)
}

// run runs a request. The caller holds a slot.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, id string, b Behaviour) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: 0
	if b.Restart {
		last = 0
	}
	body := make([]byte, 1<<16)
	size, _ := r.Body.Read(body)
	e.mu.Lock()
	e.runs = append(e.runs, Run{ID: id, FirstEvent: last + 1, At: time.Now(), Header: r.Header.Clone(), BodyBytes: size})
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if b.Crash {
		_ = e.server.Close() // errors of closing sockets are irrelevant here
		return
	}
	if !b.Unsigned {
		w.Header().Set(HeaderSigned, "1")
	}
	if b.Status != 0 && b.Status != http.StatusOK {
		w.WriteHeader(b.Status)
		_, _ = io.WriteString(w, b.Body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if b.Before != "" {
		e.streamAfter(w, r, id, last, b)
		return
	}
	if b.CrashAfter > 0 {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(b.CrashAfter)
		_ = e.server.Close() // errors of closing sockets are irrelevant here
		return
	}
	if b.Unframed {
		e.streamUnframed(w, id, last, b)
		return
	}
	e.stream(w, r, id, last, b)
}

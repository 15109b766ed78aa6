//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrelay/platform/standin"
)

// heartbeat is the interval at which a worker writes its registration.
const heartbeat = 1200 * time.Millisecond

// run is one request that a worker began to run.
type run struct {
	id, customer, path, worker, body string
	resumedAfter                     int // number of the last event before the run
	at, end                          time.Time
	whole                            bool // all events were sent
}

// worker is a stand-in of a model worker. It runs as many requests at once as it has slots,
// lets others wait, and streams numbered events.
type worker struct {
	id, service, zone, version string
	weights                    int // version of its weights
	slots                      int
	events                     int
	interval                   time.Duration     // between events
	first                      time.Duration     // before the first event
	onRun                      func(path string) // nil: none; called when a run begins
	record                     *record
	store                      *standin.Store

	addr     string
	born     int64
	listener net.Listener
	slot     chan struct{}
	done     chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	runs     []*run
	arrived  []string // attempt IDs of all requests that reached it
	sequence int
	state    string
	dead     bool
	silent   bool       // it writes no registrations any more
	dark     bool       // it sends nothing any more
	fill     []net.Conn // fill the queue of new connections
}

func (w *worker) start() error {
	l, err := net.Listen("tcp", w.listenAddr())
	if err != nil {
		return err
	}
	w.listener = l
	w.addr = l.Addr().String()
	w.born = time.Now().UnixMilli()
	w.slot = make(chan struct{}, w.slots)
	w.done = make(chan struct{})
	w.conns = make(map[net.Conn]bool)
	w.state = "ready"
	s := &http.Server{Handler: w, ConnState: w.connState}
	go func() { _ = s.Serve(darkListener{l, w}) }()
	w.beat()
	go w.beats()
	w.record.printf("worker %s of %s in %s starts at %s, software %s, weights %d", w.id, w.service, w.zone, w.addr, w.version, w.weights)
	return nil
}

func (w *worker) listenAddr() string {
	if w.addr != "" {
		return w.addr
	}
	return "127.0.0.1:0"
}

func (w *worker) connState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(w.conns, c)
		return
	}
	w.conns[c] = true
}

func (w *worker) beats() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-tick.C:
			w.beat()
		}
	}
}

// beat writes the registration.
func (w *worker) beat() {
	w.mu.Lock()
	if w.dead || w.silent {
		w.mu.Unlock()
		return
	}
	w.sequence++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state,
		"coldLeftMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": w.weights, "adapters": []any{}}},
		"sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	if err == nil {
		_ = w.store.Put("servers", w.id, value)
	}
}

// drain reports that the worker is draining. It goes on serving.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat()
	w.record.printf("worker %s reports that it is draining", w.id)
}

// leave ends the worker and removes its registration.
func (w *worker) leave() {
	w.stop()
	_ = w.store.Put("servers", w.id, nil)
	w.record.printf("worker %s has left, its entry is removed", w.id)
}

// crash ends the worker at once. Its connections are reset; its entry is removed after
// three heartbeat intervals of silence.
func (w *worker) crash() {
	w.stop()
	w.record.printf("worker %s crashes", w.id)
	go func() {
		time.Sleep(3 * heartbeat)
		_ = w.store.Put("servers", w.id, nil)
		w.record.printf("entry of worker %s is removed after three heartbeat intervals of silence", w.id)
	}()
}

func (w *worker) stop() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	conns := w.conns
	w.conns = make(map[net.Conn]bool)
	for _, c := range w.fill {
		conns[c] = true
	}
	w.mu.Unlock()
	_ = w.listener.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	close(w.done)
}

// removeEntry removes the worker's entry, for good. It goes on serving.
func (w *worker) removeEntry() {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	_ = w.store.Put("servers", w.id, nil)
	w.record.printf("entry of worker %s is removed, it goes on serving", w.id)
}

// arrivals returns the IDs of the requests that have reached the worker.
func (w *worker) arrivals() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.arrived...)
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, *r)
	}
	return list
}

// eventData returns the data of event n of the request with an ID.
func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(names.Instance, w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(names.Attempt)
	if id == "" {
		h.Set(names.NotExecuted, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set(names.Attempt, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	w.arrived = append(w.arrived, id)
	w.mu.Unlock()
	if want := r.Header.Get(names.ExpectInstance); want != "" && want != w.id {
		w.record.printf("worker %s answers 421 to %s: it expects instance %s", w.id, id, want)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get(names.ExpectVersion); want != "" && want != strconv.Itoa(w.weights) {
		w.record.printf("worker %s answers 421 to %s: it expects weights %s, here are %d", w.id, id, want, w.weights)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-w.done:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-w.slot }()
	w.serve(rw, r, id, body)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	last, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	// Paths with a line break must not break the record.
	path := strconv.Quote(r.RequestURI)
	this := &run{id: id, customer: r.Header.Get(names.Customer), path: r.RequestURI, worker: w.id, body: string(bytes.Clone(body)), resumedAfter: last, at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, this)
	w.mu.Unlock()
	w.record.printf("worker %s runs %s of customer %q, path %s, after event %d", w.id, id, this.customer, path, last)
	if w.onRun != nil {
		w.onRun(r.RequestURI)
	}
	h := rw.Header()
	h.Set(names.Signature, "signed-by-"+w.id)
	h.Set(names.WeightVersions, strconv.Itoa(w.weights))
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	defer func() {
		w.mu.Lock()
		this.end = time.Now()
		w.mu.Unlock()
	}()
	wait := w.first
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			w.record.printf("worker %s stops %s after event %d: its connection is closed", w.id, id, n-1)
			return
		case <-w.done:
			panic(http.ErrAbortHandler) // the stream must not end as if it were complete
		}
		wait = w.interval
		if w.isDark() {
			<-w.done
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		_ = control.Flush()
	}
	w.mu.Lock()
	this.whole = true
	w.mu.Unlock()
	w.record.printf("worker %s has run %s to its end", w.id, id)
}

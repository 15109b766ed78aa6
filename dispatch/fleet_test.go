package dispatch

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/network"
)

var seeds = flag.Int("seeds", 2, "number of random seeds")

// fault is what a fake endpoint does to one request.
type fault string

const (
	none       fault = "none"
	dropBefore fault = "drop before the run" // connection closed, not run
	dropAfter  fault = "drop after the run"  // run, connection closed
	cutStream  fault = "cut stream"          // closed amid the answer
	hang       fault = "hang"                // run, no answer for a minute
	crossed    fault = "crossed answer"      // another attempt's answer
	refuse     fault = "refuse"              // not run, vouched
	leave      fault = "leave"               // answers, and leaves
	shorten    fault = "short stream"        // closed in order, but not whole
	kill       fault = "kill"                // endpoints go down for a while, now and then
)

var faults = []fault{dropBefore, dropAfter, cutStream, hang, crossed, refuse, leave, shorten, kill}

// Requests with these texts kill what runs them.
const (
	poison  = "poison"  // its endpoint; the sidecar stays
	poison2 = "poison2" // another one
	killer  = "killer"  // the whole instance
)

// rig is a fleet of fake sidecars in memory.
type rig struct {
	t   *testing.T
	net *network.Network
	rnd *rand.Rand

	mu       sync.Mutex
	faults   []fault // drawn from
	rate     float64 // probability of a fault
	runs     map[string]int
	deaths   map[string]int // by request text
	leaving  map[string]time.Time
	isDown   map[string]bool            // by address
	running  map[string]map[string]bool // endpoint -> attempts
	suspects map[string]bool            // endpoints where one runs
	crashes  map[string]api.Crash       // by attempt
	crashed  map[string]bool            // endpoints whose sidecar is there
	late     []string                   // requests that reached an endpoint long after it gave notice
	probes   int
	members  membership.Static
	checks   *invariant.Set
}

func newRig(t *testing.T, seed uint64, n int, faults ...fault) *rig {
	r := &rig{
		t: t, net: network.New(), rnd: rand.New(rand.NewPCG(seed, 7)), faults: faults, rate: 0.15,
		runs: make(map[string]int), deaths: make(map[string]int), running: make(map[string]map[string]bool), crashes: make(map[string]api.Crash), crashed: make(map[string]bool), suspects: make(map[string]bool), isDown: make(map[string]bool), leaving: make(map[string]time.Time),
		checks: invariant.New(func(v invariant.Violation) { t.Error(v) }),
	}
	for i := range n {
		r.addEndpoint(i)
	}
	return r
}

func (r *rig) addEndpoint(i int) {
	id, dc := fmt.Sprintf("s%d", i), fmt.Sprintf("dc%d", i%3)
	addr := fmt.Sprintf("10.0.0.%d:80", i+1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(id, addr, w, q) })}
	l := r.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
	r.t.Cleanup(func() { _ = server.Close() })
	r.members = append(r.members, infra.Instance{
		ID: id, Role: infra.RoleSidecar, State: infra.Live, Deployment: "d", DataCentre: dc, HTTPAddr: addr,
	})
}

// entry returns a running dispatcher with its own detector.
func (r *rig) entry(id string, suspects quarantine.Tracker) *Dispatcher {
	transport := NewTransportWithDial(r.net.DialContext)
	d := New(Deps{
		Members: r.members, Transport: transport, Invariants: r.checks, Suspects: suspects,
		Logger: zerolog.New(zerolog.NewTestWriter(r.t)), Rand: r, ID: id, DataCentre: "dc0",
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(func() { cancel(); transport.CloseIdleConnections() })
	go d.Run(ctx)
	return d
}

// IntN implements Rand.
func (r *rig) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

func (r *rig) draw() fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 || r.rnd.Float64() >= r.rate {
		return none
	}
	if f := r.faults[r.rnd.IntN(len(r.faults))]; f != kill {
		return f
	}
	return none
}

// killSome takes a random endpoint down three times.
func (r *rig) killSome() {
	for range 3 {
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		r.down(r.members[r.IntN(len(r.members))].HTTPAddr, 3*time.Second)
		time.Sleep(time.Second)
	}
}

// ran counts a run of a request and returns whether it kills the endpoint.
func (r *rig) ran(q *http.Request, text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[q.Header.Get(api.HeaderRequestID)]++
	fatal := strings.Contains(text, poison) || text == killer
	if fatal {
		r.deaths[text]++
	}
	return fatal
}

// crash crashes an endpoint for a while; its sidecar stays and knows what ran.
func (r *rig) crash(id, addr string) {
	r.mu.Lock()
	kind := api.CrashBeside
	if len(r.running[id]) == 1 {
		kind = api.CrashAlone
	}
	for attempt := range r.running[id] {
		r.crashes[attempt] = kind
	}
	r.crashed[id] = true
	r.mu.Unlock()
	r.net.Cut(addr)
	time.AfterFunc(3*time.Second, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.crashed[id] = false
	})
}

// begin notes that an attempt runs at an endpoint, or says why it can't.
func (r *rig) begin(id, addr string, q *http.Request) (end func(), e *api.Error) {
	attempt, suspect := q.Header.Get(api.HeaderAttemptID), q.Header.Get(api.HeaderSuspect) == "1"
	for {
		r.mu.Lock()
		switch {
		case r.crashed[id]:
			r.mu.Unlock()
			return nil, api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "crashed")
		case r.suspects[id] && !suspect:
			r.mu.Unlock()
			return nil, api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "suspect")
		case suspect && len(r.running[id]) > 0:
			r.mu.Unlock()
			time.Sleep(time.Millisecond)
			r.checkUp(addr) // a dead instance hands on no turns
			continue
		}
		r.suspects[id] = suspect
		if r.running[id] == nil {
			r.running[id] = make(map[string]bool)
		}
		r.running[id][attempt] = true
		r.mu.Unlock()
		return func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.running[id], attempt)
			r.suspects[id] = r.suspects[id] && !suspect
		}, nil
	}
}

func (r *rig) down(addr string, d time.Duration) {
	r.setDown(addr, true)
	r.net.Refuse(addr, true)
	r.net.Cut(addr)
	time.AfterFunc(d, func() {
		r.setDown(addr, false)
		r.net.Refuse(addr, false)
	})
}

func (r *rig) setDown(addr string, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDown[addr] = down
}

// checkUp ends a request on a connection that was being opened while the
// endpoint went down.
func (r *rig) checkUp(addr string) {
	r.mu.Lock()
	down := r.isDown[addr]
	r.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// serve is one fake sidecar with its endpoint.
func (r *rig) serve(id, addr string, w http.ResponseWriter, q *http.Request) {
	r.checkUp(addr)
	h := w.Header()
	h.Set(api.HeaderAttemptID, q.Header.Get(api.HeaderAttemptID))
	h.Set(api.HeaderQueueWait, "0")
	if q.URL.Path == ProbePath {
		r.probe(id, w, q)
		return
	}
	var body api.ChatRequest
	_ = json.NewDecoder(q.Body).Decode(&body)
	text := body.Messages[0].Content
	r.noteLeaving(id, text, h)
	f := r.draw()
	switch f {
	case dropBefore:
		panic(http.ErrAbortHandler)
	case refuse:
		api.WriteError(w, api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "full"))
		return
	case leave:
		r.leave(id, h)
	}
	end, e := r.begin(id, addr, q)
	if e != nil {
		api.WriteError(w, e)
		return
	}
	defer end()
	if q.Header.Get(api.HeaderSuspect) == "1" {
		w.WriteHeader(http.StatusProcessing)
	}
	if r.ran(q, text) {
		if text == killer {
			r.down(addr, 3*time.Second)
		} else {
			r.crash(id, addr)
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(20 * time.Millisecond)
	switch f {
	case dropAfter:
		panic(http.ErrAbortHandler)
	case hang:
		select {
		case <-time.After(time.Minute):
		case <-q.Context().Done():
			return
		}
	case crossed:
		h.Set(api.HeaderAttemptID, "another")
		text = "another"
	}
	answer(w, &body, text, f)
}

// leave makes an endpoint leave, but for two that stay.
func (r *rig) leave(id string, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.leaving) >= len(r.members)-2 {
		return
	}
	if _, ok := r.leaving[id]; !ok {
		r.leaving[id] = time.Now()
	}
	h.Set(api.HeaderLeaving, "1")
}

// probe answers as a sidecar does.
func (r *rig) probe(id string, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
	if r.crashed[id] {
		w.Header().Set(api.HeaderCrash, string(r.crashes[q.Header.Get(api.HeaderAttemptID)]))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *rig) noteLeaving(id, text string, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.leaving[id]
	if !ok {
		return
	}
	h.Set(api.HeaderLeaving, "1")
	if time.Since(since) > 5*time.Second {
		r.late = append(r.late, id+" got "+text)
	}
}

// words is the length of every answer in tokens.
const words = 6

// whole is the answer to a text.
func whole(text string) string {
	var b strings.Builder
	for i := range words {
		fmt.Fprintf(&b, "%s-%d ", text, i)
	}
	return b.String()
}

func answer(w http.ResponseWriter, body *api.ChatRequest, text string, f fault) {
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		out := whole(text)
		if f == cutStream {
			w.Header().Set("Content-Length", fmt.Sprint(len(out)))
			_, _ = io.WriteString(w, out[:5])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, out)
		return
	}
	w.Header().Set("Content-Type", eventStreamType)
	event := func(m api.Message) {
		b, _ := json.Marshal(api.ChatResponse{ID: "x", Choices: []api.ChatChoice{{Delta: &m}}})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		w.(http.Flusher).Flush()
	}
	event(api.Message{Role: "assistant"})
	from := 0
	if body.Resume != nil {
		from = body.Resume.Tokens
	}
	for i := from; i < words; i++ {
		if f == shorten && i == (from+words)/2 {
			return
		}
		if f == cutStream && i == (from+words)/2 {
			_, _ = io.WriteString(w, "data: {\"half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		event(api.Message{Content: fmt.Sprintf("%s-%d ", text, i)})
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// request is one call of a test.
type request struct {
	id, text           string
	stream, idempotent bool
	resume             bool
}

// got is what the caller of a request saw.
type got struct {
	err     *api.Error
	body    string
	aborted bool
	took    time.Duration
}

// text returns the text of a stream and the code of its error event.
func (g got) text() (text string, code api.Code) {
	for _, event := range strings.Split(g.body, "\n\n") {
		data := eventData([]byte(event + "\n"))
		var c chunk
		if strings.HasPrefix(event, "event: error") {
			var e struct{ Error api.Error }
			_ = json.Unmarshal(data, &e)
			return text, e.Error.Code
		}
		if json.Unmarshal(data, &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, ""
}

const timeout = 10 * time.Second

func (r *rig) send(d *Dispatcher, q request) (out got) {
	chat := &api.ChatRequest{Model: "m", Stream: q.stream, Messages: []api.Message{{Role: "user", Content: q.text}}}
	body, _ := json.Marshal(chat)
	w := httptest.NewRecorder()
	began := time.Now()
	c := &pipeline.Call{
		W: w, R: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), ID: q.id, Customer: "c",
		Body: body, Chat: chat, Deadline: began.Add(timeout),
		Route:      config.Route{Deployment: "d", Idempotent: q.idempotent},
		Deployment: config.Deployment{Slots: 4, CanResume: q.resume},
	}
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			out.aborted = true
		}
		out.body = w.Body.String()
		out.took = time.Since(began)
	}()
	out.err = d.Handle(context.Background(), c)
	return out
}

// sharedTable is a Suspects for all entries of a test.
type sharedTable struct{ *quarantine.Table }

func (s sharedTable) Verdict(d quarantine.Digest, customer string) quarantine.Verdict {
	return s.Table.Verdict(d, customer, time.Now())
}

func (s sharedTable) RecordCrash(x quarantine.Crash) { s.Table.RecordCrash(x, time.Now()) }

func (s sharedTable) RecordSuccess(d quarantine.Digest) { s.Table.RecordSuccess(d, time.Now()) }

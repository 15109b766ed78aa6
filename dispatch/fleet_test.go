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

// fault is a fault that a simulated endpoint shows on one request.
type fault string

const (
	none            fault = "none"
	dropBefore      fault = "drop before the run" // connection closed before the request runs
	dropAfter       fault = "drop after the run"  // connection closed after the request ran
	abortedStream   fault = "aborted stream"      // connection closed within the response, streamed or not
	hang            fault = "hang"                // no response for a minute after the request ran
	mismatched      fault = "mismatched response" // response to another attempt
	refuse          fault = "refuse"              // sidecar responds that the request was not run
	announceLeaving fault = "leaving"             // endpoint responds, and announces that it is leaving
	truncated       fault = "truncated stream"    // stream ends without an error, but incomplete
	outage          fault = "outage"              // random endpoints are unreachable for 3 s, three times
	errorEvent      fault = "error event"         // an error stands in the stream as an event, and the end follows
	namedErrorEvent fault = "named error event"   // as errorEvent, with a line that names it an error
	errorStream     fault = "error as a stream"   // status 500 with the content type of a stream
)

var faults = []fault{dropBefore, dropAfter, abortedStream, hang, mismatched, refuse, announceLeaving, truncated, outage}

// Requests with these texts crash the endpoint or the instance that runs them.
const (
	crashingText         = "poison"  // the endpoint; the sidecar keeps running
	crashingText2        = "poison2" // as crashingText, but another request
	instanceCrashingText = "killer"  // the whole instance, with the sidecar
)

// testFleet is a fleet of simulated sidecars and endpoints on an in-memory network.
type testFleet struct {
	t   *testing.T
	net *network.Network
	rnd *rand.Rand

	mu             sync.Mutex
	faults         []fault                    // from which drawFault chooses
	faultRate      float64                    // probability of a fault on a request
	runs           map[string]int             // runs at endpoints, by request ID
	crashCounts    map[string]int             // crashes caused, by request text
	leaving        map[string]time.Time       // time of the leaving notice, by endpoint ID
	unreachable    map[string]bool            // by address
	running        map[string]map[string]bool // endpoint ID -> attempt IDs
	suspectRunning map[string]bool            // whether a suspect runs, by endpoint ID
	crashByAttempt map[string]api.Crash       // crash of the endpoint, by ID of the attempt in flight
	crashedIDs     map[string]bool            // IDs of the endpoints that are down, with a running sidecar
	lateCalls      []string                   // requests that reached an endpoint over 5 s after it announced leaving
	versions       map[string]string          // software versions, by endpoint ID
	otherVersions  int                        // requests to continue a text of another version, which were refused
	probes         int
	members        membership.Static
	invariants     *invariant.Set
}

func newTestFleet(t *testing.T, seed uint64, n int, faults ...fault) *testFleet {
	f := &testFleet{
		t: t, net: network.New(), rnd: rand.New(rand.NewPCG(seed, 7)), faults: faults, faultRate: 0.15,
		runs: make(map[string]int), crashCounts: make(map[string]int), running: make(map[string]map[string]bool), crashByAttempt: make(map[string]api.Crash), crashedIDs: make(map[string]bool), suspectRunning: make(map[string]bool), unreachable: make(map[string]bool), leaving: make(map[string]time.Time),
		invariants: invariant.New(func(v invariant.Violation) { t.Error(v) }),
	}
	for i := range n {
		f.addEndpoint(i)
	}
	return f
}

func (f *testFleet) addEndpoint(i int) {
	id, dc := fmt.Sprintf("s%d", i), fmt.Sprintf("dc%d", i%3)
	addr := fmt.Sprintf("10.0.0.%d:80", i+1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { f.serve(id, addr, w, q) })}
	l := f.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.members = append(f.members, infra.Instance{
		ID: id, Role: infra.RoleSidecar, State: infra.Live, Deployment: "d", DataCentre: dc, HTTPAddr: addr,
	})
}

// entry returns a running dispatcher with its own failure detector.
func (f *testFleet) entry(id string, suspects quarantine.Tracker) *Dispatcher {
	transport := NewTransportWithDial(f.net.DialContext)
	d := New(Deps{
		Members: f.members, Transport: transport, Invariants: f.invariants, Suspects: suspects,
		Logger: zerolog.New(zerolog.NewTestWriter(f.t)), Rand: f, ID: id, DataCentre: "dc0",
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); transport.CloseIdleConnections() })
	go d.Run(ctx)
	return d
}

// IntN implements Rand.
func (f *testFleet) IntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *testFleet) drawFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 || f.rnd.Float64() >= f.faultRate {
		return none
	}
	if drawn := f.faults[f.rnd.IntN(len(f.faults))]; drawn != outage {
		return drawn
	}
	return none
}

// injectOutages takes a random endpoint down for 3 s, three times.
func (f *testFleet) injectOutages() {
	for range 3 {
		time.Sleep(time.Duration(f.IntN(2000)) * time.Millisecond)
		f.takeDown(f.members[f.IntN(len(f.members))].HTTPAddr, 3*time.Second)
		time.Sleep(time.Second)
	}
}

// countRun counts a run of a request and returns whether it crashes the endpoint.
func (f *testFleet) countRun(q *http.Request, text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[q.Header.Get(api.HeaderRequestID)]++
	crashes := strings.Contains(text, crashingText) || text == instanceCrashingText
	if crashes {
		f.crashCounts[text]++
	}
	return crashes
}

// crashEndpoint crashes an endpoint for 3 s. Its sidecar keeps running, and knows
// which attempts were in flight.
func (f *testFleet) crashEndpoint(id, addr string) {
	f.mu.Lock()
	kind := api.CrashWithOthers
	if len(f.running[id]) == 1 {
		kind = api.CrashAlone
	}
	for attempt := range f.running[id] {
		f.crashByAttempt[attempt] = kind
	}
	f.crashedIDs[id] = true
	f.mu.Unlock()
	f.net.CloseConnections(addr)
	time.AfterFunc(3*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashedIDs[id] = false
	})
}

// begin records that an attempt runs at an endpoint, after a suspect has waited
// for the other attempts to end. It returns the function that ends the attempt,
// or the error with which the sidecar refuses it.
func (f *testFleet) begin(id, addr string, q *http.Request) (end func(), e *api.Error) {
	attempt, suspect := q.Header.Get(api.HeaderAttemptID), q.Header.Get(api.HeaderSuspect) == "1"
	for {
		f.mu.Lock()
		switch {
		case f.crashedIDs[id]:
			f.mu.Unlock()
			return nil, api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "crashed")
		case f.suspectRunning[id] && !suspect:
			f.mu.Unlock()
			return nil, api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "suspect")
		case suspect && len(f.running[id]) > 0:
			f.mu.Unlock()
			time.Sleep(time.Millisecond)
			f.abortIfUnreachable(addr) // an instance that is down starts no waiting suspects
			continue
		}
		f.suspectRunning[id] = suspect
		if f.running[id] == nil {
			f.running[id] = make(map[string]bool)
		}
		f.running[id][attempt] = true
		f.mu.Unlock()
		return func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.running[id], attempt)
			f.suspectRunning[id] = f.suspectRunning[id] && !suspect
		}, nil
	}
}

// takeDown makes an instance unreachable for d.
func (f *testFleet) takeDown(addr string, d time.Duration) {
	f.setUnreachable(addr, true)
	f.net.SetRefusing(addr, true)
	f.net.CloseConnections(addr)
	time.AfterFunc(d, func() {
		f.setUnreachable(addr, false)
		f.net.SetRefusing(addr, false)
	})
}

func (f *testFleet) setUnreachable(addr string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[addr] = unreachable
}

// abortIfUnreachable aborts a request on a connection that was opened while the
// endpoint went down.
func (f *testFleet) abortIfUnreachable(addr string) {
	f.mu.Lock()
	unreachable := f.unreachable[addr]
	f.mu.Unlock()
	if unreachable {
		panic(http.ErrAbortHandler)
	}
}

// serve handles a request as the sidecar and the endpoint id do, with the fault
// that drawFault chooses.
func (f *testFleet) serve(id, addr string, w http.ResponseWriter, q *http.Request) {
	f.abortIfUnreachable(addr)
	h := w.Header()
	h.Set(api.HeaderAttemptID, q.Header.Get(api.HeaderAttemptID))
	h.Set(api.HeaderQueueWait, "0")
	if q.URL.Path == ProbePath {
		f.probe(id, w, q)
		return
	}
	var body api.ChatRequest
	_ = json.NewDecoder(q.Body).Decode(&body)
	text := body.Messages[0].Content
	f.setLeavingHeader(id, text, h)
	if !f.continuesOwnVersion(id, &body, h) {
		code := api.CodeVersionGone
		if body.Resume.Version == "" {
			code = api.CodeVersionUnknown
		}
		api.WriteError(w, api.NewError(http.StatusServiceUnavailable, code, "another version"))
		return
	}
	injected := f.drawFault()
	switch injected {
	case dropBefore:
		panic(http.ErrAbortHandler)
	case refuse:
		api.WriteError(w, api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "full"))
		return
	case announceLeaving:
		f.startLeaving(id, h)
	}
	end, e := f.begin(id, addr, q)
	if e != nil {
		api.WriteError(w, e)
		return
	}
	defer end()
	if q.Header.Get(api.HeaderSuspect) == "1" {
		w.WriteHeader(http.StatusProcessing)
	}
	if f.countRun(q, text) {
		if text == instanceCrashingText {
			f.takeDown(addr, 3*time.Second)
		} else {
			f.crashEndpoint(id, addr)
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(20 * time.Millisecond)
	switch injected {
	case dropAfter:
		panic(http.ErrAbortHandler)
	case hang:
		select {
		case <-time.After(time.Minute):
		case <-q.Context().Done():
			return
		}
	case mismatched:
		h.Set(api.HeaderAttemptID, "another")
		text = "another"
	}
	writeResponse(w, &body, text, injected)
}

// continuesOwnVersion sets the version header, and reports whether the request does not ask
// to continue a text of another version.
func (f *testFleet) continuesOwnVersion(id string, body *api.ChatRequest, h http.Header) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.versions[id]
	if version != "" {
		h.Set(api.HeaderEndpointVersion, version)
	}
	if body.Resume == nil || body.Resume.Version == version {
		return true
	}
	f.otherVersions++
	return false
}

// startLeaving makes an endpoint announce that it is leaving, unless all but two
// endpoints have done so.
func (f *testFleet) startLeaving(id string, h http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.leaving) >= len(f.members)-2 {
		return
	}
	if _, ok := f.leaving[id]; !ok {
		f.leaving[id] = time.Now()
	}
	h.Set(api.HeaderLeaving, "1")
}

// probe handles a health probe as a sidecar does.
func (f *testFleet) probe(id string, w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.crashedIDs[id] {
		w.Header().Set(api.HeaderCrash, string(f.crashByAttempt[q.Header.Get(api.HeaderAttemptID)]))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setLeavingHeader sets the leaving header in the response of a leaving endpoint,
// and records a request that reached it over 5 s after the announcement.
func (f *testFleet) setLeavingHeader(id, text string, h http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.leaving[id]
	if !ok {
		return
	}
	h.Set(api.HeaderLeaving, "1")
	if time.Since(since) > 5*time.Second {
		f.lateCalls = append(f.lateCalls, id+" got "+text)
	}
}

// responseTokens is the length of every response in tokens.
const responseTokens = 6

// fullText returns the complete response to a request with that text.
func fullText(text string) string {
	var b strings.Builder
	for i := range responseTokens {
		fmt.Fprintf(&b, "%s-%d ", text, i)
	}
	return b.String()
}

// writeResponse writes the response to a request, as a stream or as one body, with
// the fault injected.
func writeResponse(w http.ResponseWriter, body *api.ChatRequest, text string, injected fault) {
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		out := fullText(text)
		if injected == abortedStream {
			w.Header().Set("Content-Length", fmt.Sprint(len(out)))
			_, _ = io.WriteString(w, out[:5])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, out)
		return
	}
	w.Header().Set("Content-Type", eventStreamType)
	if injected == errorStream {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "data: {\"message\":\"failed\"}\n\n")
		return
	}
	event := func(m api.Message) {
		b, _ := json.Marshal(api.ChatResponse{ID: "x", Choices: []api.ChatChoice{{Delta: &m}}})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		w.(http.Flusher).Flush()
	}
	event(api.Message{Role: "assistant"})
	firstToken := 0
	if body.Resume != nil {
		firstToken = body.Resume.Tokens
	}
	for i := firstToken; i < responseTokens; i++ {
		if (injected == errorEvent || injected == namedErrorEvent) && i == (firstToken+responseTokens)/2 {
			line := map[fault]string{namedErrorEvent: "event: error\n"}[injected]
			_, _ = io.WriteString(w, line+"data: {\"error\":{\"message\":\"failed\"}}\n\ndata: [DONE]\n\n")
			return
		}
		if injected == truncated && i == (firstToken+responseTokens)/2 {
			return
		}
		if injected == abortedStream && i == (firstToken+responseTokens)/2 {
			_, _ = io.WriteString(w, "data: {\"half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		event(api.Message{Content: fmt.Sprintf("%s-%d ", text, i)})
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// testCall is one call of a test.
type testCall struct {
	id, text           string
	stream, idempotent bool
	resume             bool
	from               *api.Resume // that the caller sends; nil: none
}

// callResult is the result of a call as its caller sees it.
type callResult struct {
	err     *api.Error
	body    string
	aborted bool // the handler panicked with http.ErrAbortHandler
	elapsed time.Duration
	status  int
}

// text returns the text of a stream and the code of its error event.
func (r callResult) text() (text string, code api.Code) {
	for _, event := range strings.Split(r.body, "\n\n") {
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

// timeout is the time from the start of a call to its deadline.
const timeout = 10 * time.Second

// send sends a call to entry d and returns its result.
func (f *testFleet) send(d *Dispatcher, q testCall) (out callResult) {
	chat := &api.ChatRequest{Model: "m", Stream: q.stream, Messages: []api.Message{{Role: "user", Content: q.text}}, Resume: q.from}
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
		out.body, out.status = w.Body.String(), w.Code
		out.elapsed = time.Since(began)
	}()
	out.err = d.Handle(context.Background(), c)
	return out
}

// sharedSuspects implements quarantine.Tracker with a table that all entries of
// a test share.
type sharedSuspects struct{ *quarantine.Table }

func (s sharedSuspects) Verdict(d quarantine.Digest, customer string) quarantine.Verdict {
	return s.Table.Verdict(d, customer, time.Now())
}

func (s sharedSuspects) RecordCrash(x quarantine.Crash) { s.Table.RecordCrash(x, time.Now()) }

func (s sharedSuspects) PartsQuarantined(parts []string) bool {
	return s.Table.PartsQuarantined(parts, time.Now())
}

func (s sharedSuspects) RecordSoundParts(parts []string) { s.Table.RecordSoundParts(parts, time.Now()) }

func (s sharedSuspects) RecordSuccess(d quarantine.Digest) { s.Table.RecordSuccess(d, time.Now()) }

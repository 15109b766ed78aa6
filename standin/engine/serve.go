package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"dandelionrelay/api"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// Load is the response to GET /load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !e.arrive() {
		panic(http.ErrAbortHandler)
	}
	e.setColdHeader(w)
	api.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := Load{Running: len(e.running), Waiting: len(e.waiting)}
	e.mu.Unlock()
	api.WriteJSON(w, http.StatusOK, load)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, "body unreadable", http.StatusBadRequest)
		return
	}
	e.recordRequest(r, body)
	var req api.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	s := e.newSequence(&req)
	s.id = r.Header.Get("X-Request-Id")
	if !e.arrive() || !e.add(s) {
		panic(http.ErrAbortHandler)
	}
	defer e.remove(s)
	if req.Stream {
		e.respondStream(w, r, &req, s)
		return
	}
	e.respond(w, r, &req, s)
}

// waitTokens waits for tokens of s after the first n and returns them. It aborts the
// connection if the run is aborted or the client disconnects.
func (e *Engine) waitTokens(r *http.Request, s *sequence, n int) (tokens []string, finished bool) {
	for {
		tokens, finished, aborted := e.tokensFrom(s, n)
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if len(tokens) > 0 || finished {
			return tokens, finished
		}
		select {
		case <-s.wake:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// respond sends the response as one JSON document.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, req *api.ChatRequest, s *sequence) {
	var text strings.Builder
	if req.Resume != nil {
		text.WriteString(req.Resume.Text)
	}
	n, finished := 0, false
	for !finished {
		var tokens []string
		tokens, finished = e.waitTokens(r, s, n)
		for _, t := range tokens {
			text.WriteString(t)
		}
		n += len(tokens)
	}
	stop := "stop"
	e.setColdHeader(w)
	api.WriteJSON(w, http.StatusOK, api.ChatResponse{
		ID:     completionID(req),
		Object: "chat.completion",
		Model:  req.Model,
		Choices: []api.ChatChoice{{
			Message:      &api.Message{Role: "assistant", Content: text.String()},
			FinishReason: &stop,
		}},
		Usage: e.usage(s),
	})
}

// usage returns the token counts of s. It takes the lock, as a run that was resumed
// after its last token gets its response while the step loop may still admit it.
func (e *Engine) usage(s *sequence) *api.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &api.Usage{PromptTokens: s.prompt, CompletionTokens: s.limit, CachedTokens: s.cached}
}

// respondStream sends one server-sent event for each token, one with the finish
// reason and the usage, and [DONE].
func (e *Engine) respondStream(w http.ResponseWriter, r *http.Request, req *api.ChatRequest, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	n, finished := 0, false
	for !finished {
		var tokens []string
		tokens, finished = e.waitTokens(r, s, n)
		e.setColdHeader(w) // has an effect before the first event
		for _, t := range tokens {
			sendEvent(w, chunk(req, &api.Message{Role: "assistant", Content: t}, nil, nil))
		}
		n += len(tokens)
	}
	stop := "stop"
	sendEvent(w, chunk(req, &api.Message{}, &stop, e.usage(s)))
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func chunk(req *api.ChatRequest, delta *api.Message, reason *string, usage *api.Usage) api.ChatResponse {
	return api.ChatResponse{
		ID:      completionID(req),
		Object:  "chat.completion.chunk",
		Model:   req.Model,
		Choices: []api.ChatChoice{{Delta: delta, FinishReason: reason}},
		Usage:   usage,
	}
}

func sendEvent(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "data: ")
	_, _ = w.Write(b)
	_, _ = io.WriteString(w, "\n\n")
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

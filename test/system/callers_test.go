package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/standin/engine"
)

// answer is what a caller got.
type answer struct {
	id     string // request id
	status int
	text   string
	err    *api.Error // of a refusal or failure
	cut    bool       // the answer is not whole
}

// send makes one request through any entry.
func (w *world) send(customer, method, path, kind, idempotencyKey string, body []byte) answer {
	req, err := http.NewRequestWithContext(w.t.Context(), method, w.entry().URL()+path, bytes.NewReader(body))
	w.must(err)
	req.Header.Set("Authorization", "Bearer "+keyOf(customer))
	req.Header.Set("Content-Type", kind)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := w.fleet.Client().Do(req)
	if err != nil {
		return answer{cut: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{id: resp.Header.Get(api.HeaderRequestID), status: resp.StatusCode, text: string(text), cut: err != nil}
	if resp.StatusCode >= 400 {
		a.err = api.ReadError(resp.StatusCode, resp.Header, text)
	}
	return a
}

// count accounts for an answer.
func (w *world) count(customer string, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.cut:
		w.seen.cut++
	case a.err == nil:
		w.seen.done++
	case a.err.Outcome == api.NotRun:
		w.seen.refused++
		w.seen.notRun = append(w.seen.notRun, a.id)
	default:
		w.seen.unknown++
	}
	if a.err == nil || a.err.Outcome != api.NotRun {
		w.seen.admitted[customer]++
	}
}

// finalAnswer checks the form of a refusal or failure.
func (w *world) finalAnswer(a answer) {
	if a.cut || a.status < 400 {
		return
	}
	if a.err == nil {
		w.t.Errorf("status %d without a typed error: %s", a.status, a.text)
		return
	}
	if a.status >= 500 && a.status != http.StatusInternalServerError && a.err.RetryAfter == 0 {
		w.t.Errorf("%s does not say when to come back", a.err)
	}
}

// every calls f at intervals until the load ends, each in a goroutine, and
// waits for all of them.
func (w *world) every(interval time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	for n := 0; time.Since(w.start) < faultsFor; n++ {
		wg.Go(func() { f(n) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// chats sends chat completions of a customer.
func (w *world) chats(customer string) {
	w.every(350*time.Millisecond, func(n int) { w.chat(customer, fmt.Sprintf("%s asks %d", customer, n), n%2 == 0) })
}

func (w *world) chat(customer, prompt string, stream bool) answer {
	r := api.ChatRequest{Model: model, MaxTokens: 24, Stream: stream, Messages: []api.Message{{Role: "user", Content: prompt}}}
	body, err := json.Marshal(r)
	w.must(err)
	a := w.send(customer, http.MethodPost, "/v1/chat/completions", "application/json", "", body)
	w.count(customer, a)
	w.finalAnswer(a)
	if a.status == http.StatusOK && !a.cut {
		w.checkChat(&r, a.text)
	}
	return a
}

// checkChat checks that an answer is the whole one to its own request.
func (w *world) checkChat(r *api.ChatRequest, text string) {
	want := engine.ResponseText(r, r.MaxTokens)
	got := text
	if r.Stream {
		if !strings.HasSuffix(text, "data: [DONE]\n\n") {
			w.t.Errorf("a stream ended well without its end: %q", text)
		}
		got = joinStream(text)
	} else {
		var doc api.ChatResponse
		if err := json.Unmarshal([]byte(text), &doc); err != nil || len(doc.Choices) != 1 {
			w.t.Errorf("bad answer %q", text)
			return
		}
		got = doc.Choices[0].Message.Content
	}
	if got != want {
		w.t.Errorf("request %q got %q instead of %q", r.Messages[0].Content, got, want)
	}
}

// joinStream returns the text of a stream of server-sent events.
func joinStream(text string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(text, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var chunk api.ChatResponse
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			continue
		}
		b.WriteString(chunk.Choices[0].Delta.Content)
	}
	return b.String()
}

// confirmations sends non-idempotent calls, each to a path of its own, and
// sends those again whose fate it does not know.
func (w *world) confirmations(customer string) {
	w.every(900*time.Millisecond, func(n int) {
		path := fmt.Sprintf("/pickups/%d", n)
		key := ""
		if n%2 == 0 {
			key = path
		}
		for range 4 {
			a := w.send(customer, http.MethodPost, path, "text/plain", key, []byte("confirm"))
			w.count(customer, a)
			w.finalAnswer(a)
			notRun := a.err != nil && a.err.Outcome == api.NotRun
			known := !a.cut && !notRun
			if known || key == "" && !notRun {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

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

// callResult is the response that a caller received.
type callResult struct {
	id         string // request ID
	status     int
	text       string
	err        *api.Error // of a response with status 400 or above
	incomplete bool       // there was no response, or it was truncated
}

// send sends one request to a random entry and returns the response.
func (sim *simulation) send(customer, method, path, contentType, idempotencyKey string, body []byte) callResult {
	req, err := http.NewRequestWithContext(sim.t.Context(), method, sim.randomEntry().URL()+path, bytes.NewReader(body))
	sim.must(err)
	req.Header.Set("Authorization", "Bearer "+keyOf(customer))
	req.Header.Set("Content-Type", contentType)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := sim.fleet.Client().Do(req)
	if err != nil {
		return callResult{incomplete: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	result := callResult{id: resp.Header.Get(api.HeaderRequestID), status: resp.StatusCode, text: string(text), incomplete: err != nil}
	if resp.StatusCode >= 400 {
		result.err = api.ReadError(resp.StatusCode, resp.Header, text)
	}
	return result
}

// recordResult counts the outcome of a call.
func (sim *simulation) recordResult(customer string, result callResult) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case result.incomplete:
		sim.stats.incomplete++
	case result.err == nil:
		sim.stats.completed++
	case result.err.Outcome == api.NotRun:
		sim.stats.refused++
		sim.stats.notRun = append(sim.stats.notRun, result.id)
	default:
		sim.stats.unknown++
	}
	if result.err == nil || result.err.Outcome != api.NotRun {
		sim.stats.admitted[customer]++
	}
}

// checkError checks that an error response holds a typed error, and that a 5xx
// error other than 500 has a Retry-After.
func (sim *simulation) checkError(result callResult) {
	if result.incomplete || result.status < 400 {
		return
	}
	if result.err == nil {
		sim.t.Errorf("response with status %d has no typed error: %s", result.status, result.text)
		return
	}
	if result.status >= 500 && result.status != http.StatusInternalServerError && result.err.RetryAfter == 0 {
		sim.t.Errorf("error response without Retry-After: %s", result.err)
	}
}

// every starts f in a goroutine of its own once per interval until the load ends,
// with the number of the call from 0, and waits for all calls to return.
func (sim *simulation) every(interval time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	for n := 0; time.Since(sim.start) < faultDuration; n++ {
		wg.Go(func() { f(n) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// sendChats sends chat completions of a customer until the load ends; every other
// one is streamed.
func (sim *simulation) sendChats(customer string) {
	sim.every(350*time.Millisecond, func(n int) { sim.sendChat(customer, fmt.Sprintf("%s asks %d", customer, n), n%2 == 0) })
}

// sendChat sends one chat completion, counts its outcome and checks the response.
func (sim *simulation) sendChat(customer, prompt string, stream bool) callResult {
	r := api.ChatRequest{Model: model, MaxTokens: 24, Stream: stream, Messages: []api.Message{{Role: "user", Content: prompt}}}
	body, err := json.Marshal(r)
	sim.must(err)
	result := sim.send(customer, http.MethodPost, "/v1/chat/completions", "application/json", "", body)
	sim.recordResult(customer, result)
	sim.checkError(result)
	if result.status == http.StatusOK && !result.incomplete {
		sim.checkChat(&r, result.text)
	}
	return result
}

// checkChat checks that text is the complete response to request r.
func (sim *simulation) checkChat(r *api.ChatRequest, text string) {
	want := engine.ResponseText(r, r.MaxTokens)
	got := text
	if r.Stream {
		if !strings.HasSuffix(text, "data: [DONE]\n\n") {
			sim.t.Errorf("stream ended without error, but without [DONE]: %q", text)
		}
		got = streamedContent(text)
	} else {
		var doc api.ChatResponse
		if err := json.Unmarshal([]byte(text), &doc); err != nil || len(doc.Choices) != 1 {
			sim.t.Errorf("malformed response %q", text)
			return
		}
		got = doc.Choices[0].Message.Content
	}
	if got != want {
		sim.t.Errorf("request %q: response is %q, want %q", r.Messages[0].Content, got, want)
	}
}

// streamedContent returns the content of a streamed chat completion.
func streamedContent(text string) string {
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

// sendConfirmations sends non-idempotent calls, each to a path of its own. It
// retries those that did not run, and those with an idempotency key that got no
// complete response.
func (sim *simulation) sendConfirmations(customer string) {
	sim.every(900*time.Millisecond, func(n int) {
		path := fmt.Sprintf("/pickups/%d", n)
		key := ""
		if n%2 == 0 {
			key = path
		}
		for range 4 {
			result := sim.send(customer, http.MethodPost, path, "text/plain", key, []byte("confirm"))
			sim.recordResult(customer, result)
			sim.checkError(result)
			notRun := result.err != nil && result.err.Outcome == api.NotRun
			final := !result.incomplete && !notRun
			if final || key == "" && !notRun {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

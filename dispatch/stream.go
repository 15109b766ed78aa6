package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

const (
	eventBufferBytes = 4 << 10 // read buffer of a stream
	maxEventBytes    = 1 << 20 // largest event that is relayed
)

var (
	errEventTooLarge = errors.New("event exceeds 1 MiB")
	errPartialEvent  = errors.New("stream ended within an event")
	dataPrefix       = []byte("data:")
	doneMarker       = []byte("[DONE]")
)

// stream is the state of a stream of events, as delivered to the caller.
type stream struct {
	delivered    bool            // an event was delivered
	events       int64           // number of events delivered
	done         bool            // the event [DONE] was received
	notResumable bool            // it has content that a resume position can't describe
	completionID string          // ID of the first attempt's completion
	version      string          // of the software of the endpoints that sent it
	text         strings.Builder // delivered content
	tokens       int             // delivered tokens
	resumed      bool            // the events come from a resumed attempt
}

// chunk holds the fields of a chat completion chunk that resuming needs.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// canResume reports whether another endpoint can continue the stream.
func (s *stream) canResume(c *pipeline.Call) bool {
	return s.delivered && !s.notResumable && c.Chat != nil && c.Deployment.CanResume && c.Route.Idempotent
}

// relayEvents sends a stream of events to the caller, each event as soon as it is
// complete.
func (f *forwarder) relayEvents(ctx context.Context, a *attempt, resp *http.Response) *attemptFailure {
	s := &f.stream
	s.resumed = f.call.ResponseStarted
	if s.resumed {
		f.dispatcher.metrics.streamsResumed.Inc()
	} else {
		s.version = resp.Header.Get(api.HeaderEndpointVersion)
	}
	in := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	out := http.NewResponseController(f.call.W)
	var event []byte
	for {
		var err error
		event, err = readEvent(in, event[:0])
		if err == io.EOF && f.streamComplete() {
			f.dispatcher.detector.RecordAlive(a.endpoint.ID, time.Now())
			return nil
		}
		if err != nil {
			return a.connectionFailure(ctx)
		}
		f.dispatcher.detector.RecordProgress(a.endpoint.ID, time.Now())
		if f.call.Chat != nil && api.IsErrorEvent(event) {
			return &attemptFailure{err: endpointLostError(api.Unknown), retryable: true}
		}
		if !f.call.ResponseStarted {
			f.writeHeader(resp, false)
		}
		if !f.deliver(event, out) {
			return &attemptFailure{err: callerLeftError(api.Unknown)}
		}
	}
}

// streamComplete reports whether a stream that ended without an error is
// complete. A chat stream is complete only after its event [DONE].
func (f *forwarder) streamComplete() bool {
	return f.call.ResponseStarted && (f.call.Chat == nil || f.stream.done)
}

// deliver sends one event to the caller. It returns false if the caller has
// disconnected.
func (f *forwarder) deliver(event []byte, out *http.ResponseController) bool {
	s := &f.stream
	event = s.process(event, f.call.Chat != nil && f.call.Deployment.CanResume)
	if event == nil {
		return true
	}
	if _, err := f.call.W.Write(event); err != nil {
		return false
	}
	s.delivered = true
	s.events++
	return out.Flush() == nil
}

// process records the content of event and returns the event to send to the
// caller, or nil if the caller does not need it, as a resumed attempt repeats what
// an earlier one sent. Content is recorded only if resumable is set.
func (s *stream) process(event []byte, resumable bool) []byte {
	data := eventData(event)
	if bytes.Equal(data, doneMarker) {
		s.done = true
		return event
	}
	if !resumable || data == nil {
		return event
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		s.notResumable = true
		return event
	}
	if s.resumed {
		return s.rewriteResumed(c, data, event)
	}
	s.completionID = c.ID
	s.recordContent(c)
	return event
}

// recordContent adds the content of c to the delivered text and tokens.
func (s *stream) recordContent(c chunk) {
	for _, choice := range c.Choices {
		if choice.Index != 0 || choice.Delta.ToolCalls != nil {
			s.notResumable = true
		}
		if choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		s.tokens++
	}
}

// rewriteResumed returns the event for a chunk of a resumed attempt, with the
// completion ID of the first attempt. It returns nil for a chunk whose only choice
// has neither content nor a finish reason, such as the opening one.
func (s *stream) rewriteResumed(c chunk, data, event []byte) []byte {
	s.recordContent(c)
	if len(c.Choices) == 1 && c.Choices[0].Delta.Content == "" && c.Choices[0].FinishReason == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return event
	}
	fields["id"], _ = json.Marshal(s.completionID)
	out, err := json.Marshal(fields)
	if err != nil {
		return event
	}
	return append(append([]byte("data: "), out...), '\n', '\n')
}

// writeErrorEvent ends the stream with an error event that holds e. It does
// nothing if no event was delivered.
func (s *stream) writeErrorEvent(w http.ResponseWriter, e *api.Error) {
	if !s.delivered {
		return
	}
	data, err := json.Marshal(struct {
		Error *api.Error `json:"error"`
	}{e})
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), data...), '\n', '\n'))
	_ = http.NewResponseController(w).Flush()
}

// readEvent appends one event, with the blank line that ends it, to buf. It
// returns errPartialEvent if the stream ends within an event, and
// errEventTooLarge if the event exceeds maxEventBytes.
func readEvent(in *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		lineStart := len(buf)
		line, err := in.ReadSlice('\n')
		buf = append(buf, line...)
		if len(buf) > maxEventBytes {
			return buf, errEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(buf)) > 0 {
			return buf, errPartialEvent
		}
		if err != nil {
			return buf, err
		}
		blank := len(bytes.TrimRight(buf[lineStart:], "\r\n")) == 0
		if blank && (lineStart == 0 || buf[lineStart-1] == '\n') && len(buf) > len(line) {
			return buf, nil
		}
	}
}

// eventData returns the content of the first data line of an event, or nil if it
// has none. Chunks have one data line.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

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
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var (
	errEventTooLarge = errors.New("event is too large")
	errUnfinished    = errors.New("stream ended without its last event")
	dataPrefix       = []byte("data:")
	lastEvent        = []byte("[DONE]")
)

// stream is what the caller has of a stream of events.
type stream struct {
	open      bool            // an event was delivered
	last      bool            // the last event was delivered
	strange   bool            // holds what a resume can't continue
	id        string          // of the completion
	text      strings.Builder // delivered
	tokens    int             // delivered
	continued bool            // the events come from a resumed attempt
}

// chunk is the part of a chat completion chunk that a resume needs.
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

// canResume says that another endpoint can continue the stream.
func (s *stream) canResume(c *pipeline.Call) bool {
	return s.open && !s.strange && c.Chat != nil && c.Deployment.CanResume && c.Route.Idempotent
}

// relayEvents passes a stream of events on, each as soon as it is whole.
func (y *delivery) relayEvents(ctx context.Context, a *attempt, resp *http.Response) *end {
	s := &y.stream
	s.continued = y.c.ResponseStarted
	if s.continued {
		y.d.metrics.resumed.Inc()
	}
	in := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	out := http.NewResponseController(y.c.W)
	var event []byte
	for {
		var err error
		event, err = readEvent(in, event[:0])
		if err == io.EOF && y.ended() {
			y.d.detector.RecordAlive(a.endpoint.ID, time.Now())
			return nil
		}
		if err != nil {
			return a.lost(ctx)
		}
		y.d.detector.RecordProgress(a.endpoint.ID, time.Now())
		if !y.c.ResponseStarted {
			y.start(resp, false)
		}
		if !y.deliver(event, out) {
			return &end{err: goneError(api.Unknown)}
		}
	}
}

// ended says that a stream that closed in order is whole. Chat streams are so
// only with their last event.
func (y *delivery) ended() bool {
	return y.c.ResponseStarted && (y.c.Chat == nil || y.stream.last)
}

// deliver sends one event to the caller. It returns false if the caller is
// gone.
func (y *delivery) deliver(event []byte, out *http.ResponseController) bool {
	s := &y.stream
	event = s.take(event, y.c.Chat != nil && y.c.Deployment.CanResume)
	if event == nil {
		return true
	}
	if _, err := y.c.W.Write(event); err != nil {
		return false
	}
	s.open = true
	return out.Flush() == nil
}

// take notes what event delivers and returns it as the caller is to see it:
// nil for one that the caller has from an earlier attempt.
func (s *stream) take(event []byte, resumable bool) []byte {
	data := eventData(event)
	if bytes.Equal(data, lastEvent) {
		s.last = true
		return event
	}
	if !resumable || data == nil {
		return event
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		s.strange = true
		return event
	}
	if s.continued {
		return s.rewrite(c, data, event)
	}
	s.id = c.ID
	s.note(c)
	return event
}

// note adds the content of c to what was delivered.
func (s *stream) note(c chunk) {
	for _, choice := range c.Choices {
		if choice.Index != 0 || choice.Delta.ToolCalls != nil {
			s.strange = true
		}
		if choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		s.tokens++
	}
}

// rewrite fits a chunk of a resumed attempt into the stream: it carries the
// first attempt's id, and an opening chunk without content is dropped.
func (s *stream) rewrite(c chunk, data, event []byte) []byte {
	s.note(c)
	if len(c.Choices) == 1 && c.Choices[0].Delta.Content == "" && c.Choices[0].FinishReason == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return event
	}
	fields["id"], _ = json.Marshal(s.id)
	out, err := json.Marshal(fields)
	if err != nil {
		return event
	}
	return append(append([]byte("data: "), out...), '\n', '\n')
}

// fail ends the stream with an event that carries e.
func (s *stream) fail(w http.ResponseWriter, e *api.Error) {
	if !s.open {
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

// readEvent reads one event with its closing blank line into buf. A part of an
// event before the end of the stream is an error.
func readEvent(in *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		from := len(buf)
		line, err := in.ReadSlice('\n')
		buf = append(buf, line...)
		if len(buf) > maxEventBytes {
			return buf, errEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(buf)) > 0 {
			return buf, errUnfinished
		}
		if err != nil {
			return buf, err
		}
		blank := len(bytes.TrimRight(buf[from:], "\r\n")) == 0
		if blank && (from == 0 || buf[from-1] == '\n') && len(buf) > len(line) {
			return buf, nil
		}
	}
}

// eventData returns the data of an event that has one line of it, or nil.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

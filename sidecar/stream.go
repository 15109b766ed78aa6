package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"dandelionrelay/api"
)

// errCut says that a stream ended before its end was announced.
var errStreamTruncated = errors.New("stream was cut")

// collector puts a whole answer together from a stream of server-sent events.
type responseAssembler struct {
	text         strings.Builder
	tokens       int // events with text, each one token
	lastEvent    api.ChatResponse
	finishReason *string
	usage        *api.Usage
	onToken      func(tokens int) // told after each token
}

// newCollector continues an answer that was cut at from, which may be nil.
func newResponseAssembler(from *api.Resume) *responseAssembler {
	c := &responseAssembler{}
	if from != nil {
		c.text.WriteString(from.Text)
		c.tokens = from.Tokens
	}
	return c
}

// read takes the events of r up to the last one.
func (c *responseAssembler) read(r io.Reader) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errStreamTruncated
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if err := c.addEvent(data); err != nil {
			return err
		}
	}
}

func (c *responseAssembler) addEvent(data []byte) error {
	var r api.ChatResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	c.lastEvent = r
	if r.Usage != nil {
		c.usage = r.Usage
	}
	if len(r.Choices) == 0 {
		return nil
	}
	choice := r.Choices[0]
	if choice.FinishReason != nil {
		c.finishReason = choice.FinishReason
	}
	if choice.Delta != nil && choice.Delta.Content != "" {
		c.text.WriteString(choice.Delta.Content)
		c.tokens++
		c.onToken(c.tokens)
	}
	return nil
}

// position returns where to resume.
func (c *responseAssembler) resumePoint() *api.Resume {
	if c.tokens == 0 {
		return nil
	}
	return &api.Resume{Text: c.text.String(), Tokens: c.tokens}
}

// whole returns the answer as one document.
func (c *responseAssembler) response() []byte {
	b, _ := json.Marshal(api.ChatResponse{
		ID:     c.lastEvent.ID,
		Object: "chat.completion",
		Model:  c.lastEvent.Model,
		Choices: []api.ChatChoice{{
			Message:      &api.Message{Role: "assistant", Content: c.text.String()},
			FinishReason: c.finishReason,
		}},
		Usage: c.usage,
	})
	return b
}

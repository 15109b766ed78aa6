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
var errCut = errors.New("stream was cut")

// collector puts a whole answer together from a stream of server-sent events.
type collector struct {
	text   strings.Builder
	tokens int // events with text, each one token
	head   api.ChatResponse
	reason *string
	usage  *api.Usage
	seen   func(tokens int) // told after each token
}

// newCollector continues an answer that was cut at from, which may be nil.
func newCollector(from *api.Resume) *collector {
	c := &collector{}
	if from != nil {
		c.text.WriteString(from.Text)
		c.tokens = from.Tokens
	}
	return c
}

// read takes the events of r up to the last one.
func (c *collector) read(r io.Reader) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errCut
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if err := c.event(data); err != nil {
			return err
		}
	}
}

func (c *collector) event(data []byte) error {
	var r api.ChatResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	c.head = r
	if r.Usage != nil {
		c.usage = r.Usage
	}
	if len(r.Choices) == 0 {
		return nil
	}
	choice := r.Choices[0]
	if choice.FinishReason != nil {
		c.reason = choice.FinishReason
	}
	if choice.Delta != nil && choice.Delta.Content != "" {
		c.text.WriteString(choice.Delta.Content)
		c.tokens++
		c.seen(c.tokens)
	}
	return nil
}

// position returns where to resume.
func (c *collector) position() *api.Resume {
	if c.tokens == 0 {
		return nil
	}
	return &api.Resume{Text: c.text.String(), Tokens: c.tokens}
}

// whole returns the answer as one document.
func (c *collector) whole() []byte {
	b, _ := json.Marshal(api.ChatResponse{
		ID:     c.head.ID,
		Object: "chat.completion",
		Model:  c.head.Model,
		Choices: []api.ChatChoice{{
			Message:      &api.Message{Role: "assistant", Content: c.text.String()},
			FinishReason: c.reason,
		}},
		Usage: c.usage,
	})
	return b
}

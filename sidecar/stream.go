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

// errStreamTruncated is returned if a stream ends or fails before the event [DONE].
var errStreamTruncated = errors.New("event stream ended before [DONE]")

// responseAssembler assembles the complete response of a chat completion from
// its stream of server-sent events.
type responseAssembler struct {
	text         strings.Builder
	tokens       int // so far, those before the resume position included; an event with text is one token
	lastEvent    api.ChatResponse
	finishReason *string
	usage        *api.Usage
	onToken      func(tokens int) // called after each token with the tokens so far
}

// newResponseAssembler returns an assembler of a response that continues after
// from, which may be nil.
func newResponseAssembler(from *api.Resume) *responseAssembler {
	a := &responseAssembler{}
	if from != nil {
		a.text.WriteString(from.Text)
		a.tokens = from.Tokens
	}
	return a
}

// read reads the events of r up to [DONE]. It returns errStreamTruncated if r ends
// or fails before.
func (a *responseAssembler) read(r io.Reader) error {
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
		if err := a.addEvent(data); err != nil {
			return err
		}
	}
}

// addEvent adds the JSON data of one event to the response.
func (a *responseAssembler) addEvent(data []byte) error {
	var r api.ChatResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	a.lastEvent = r
	if r.Usage != nil {
		a.usage = r.Usage
	}
	if len(r.Choices) == 0 {
		return nil
	}
	choice := r.Choices[0]
	if choice.FinishReason != nil {
		a.finishReason = choice.FinishReason
	}
	if choice.Delta != nil && choice.Delta.Content != "" {
		a.text.WriteString(choice.Delta.Content)
		a.tokens++
		a.onToken(a.tokens)
	}
	return nil
}

// resumePosition returns the position from which to resume the response, or nil
// if there are no tokens yet.
func (a *responseAssembler) resumePosition() *api.Resume {
	if a.tokens == 0 {
		return nil
	}
	return &api.Resume{Text: a.text.String(), Tokens: a.tokens}
}

// response returns the complete response as JSON.
func (a *responseAssembler) response() []byte {
	b, _ := json.Marshal(api.ChatResponse{
		ID:     a.lastEvent.ID,
		Object: "chat.completion",
		Model:  a.lastEvent.Model,
		Choices: []api.ChatChoice{{
			Message:      &api.Message{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finishReason,
		}},
		Usage: a.usage,
	})
	return b
}

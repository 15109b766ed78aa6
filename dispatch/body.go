package dispatch

import (
	"encoding/json"

	"dandelionrelay/api"
)

// body returns the body of the next attempt: as the caller sent it, or after a
// cut with the position to resume from. The sidecar adds the salt of the
// customer's prompt cache.
func (y *delivery) body() ([]byte, error) {
	c := y.c
	if c.Chat == nil || !c.ResponseStarted {
		return c.Body, nil
	}
	return withPosition(c.Body, y.stream.position(c.Chat.Resume))
}

// position returns where the stream is to go on, after what the caller itself
// had when it sent the call.
func (s *stream) position(before *api.Resume) *api.Resume {
	r := &api.Resume{Text: s.text.String(), Tokens: s.tokens}
	if before != nil {
		r.Text = before.Text + r.Text
		r.Tokens += before.Tokens
	}
	return r
}

// withPosition sets the position to resume from in a body.
func withPosition(body []byte, at *api.Resume) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	position, err := json.Marshal(at)
	if err != nil {
		return nil, err
	}
	fields["resume"] = position
	return json.Marshal(fields)
}

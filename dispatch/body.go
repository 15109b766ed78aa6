package dispatch

import (
	"encoding/json"

	"dandelionrelay/api"
)

// body returns the body of the next attempt: as the caller sent it, or, to resume
// an interrupted stream, with the position to resume from. The sidecar adds the
// salt of the customer's prompt cache.
func (f *forwarder) body() ([]byte, error) {
	c := f.call
	if c.Chat == nil || !c.ResponseStarted {
		return c.Body, nil
	}
	return withResume(c.Body, f.stream.resumePosition(c.Chat.Resume))
}

// resumePosition returns the position to resume the stream from: the text and
// tokens of before, the resume position that the caller sent, if any, followed by
// those delivered since.
func (s *stream) resumePosition(before *api.Resume) *api.Resume {
	r := &api.Resume{Text: s.text.String(), Tokens: s.tokens}
	if before != nil {
		r.Text = before.Text + r.Text
		r.Tokens += before.Tokens
	}
	return r
}

// withResume returns body with the field "resume" set.
func withResume(body []byte, resume *api.Resume) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	position, err := json.Marshal(resume)
	if err != nil {
		return nil, err
	}
	fields["resume"] = position
	return json.Marshal(fields)
}

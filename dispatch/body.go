package dispatch

import (
	"encoding/json"

	"dandelionrelay/api"
)

// body returns the body of the next attempt: as the caller sent it, or, to resume
// an interrupted stream, with the position to resume from. The sidecar adds the
// salt of the customer's prompt cache.
func (f *forwarder) body() ([]byte, error) {
	if f.call.Chat == nil || !f.call.ResponseStarted {
		return f.call.Body, nil
	}
	return withResume(f.call.Body, f.resumePosition())
}

// resumePosition returns the position from which the next attempt goes on: that of the
// stream or, if none was delivered, the one that the caller sent. nil: from the start.
func (f *forwarder) resumePosition() *api.Resume {
	if f.call.Chat == nil {
		return nil
	}
	if !f.call.ResponseStarted {
		return f.call.Chat.Resume
	}
	return f.stream.resumePosition(f.call.Chat.Resume)
}

// resumePosition returns the position to resume the stream from: the text and
// tokens of before, the resume position that the caller sent, if any, followed by
// those delivered since.
func (s *stream) resumePosition(before *api.Resume) *api.Resume {
	r := &api.Resume{Text: s.text.String(), Tokens: s.tokens, Version: s.version}
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

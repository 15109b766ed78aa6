package dispatch

import (
	"bytes"
	"encoding/json"

	"dandelionrelay/api"
)

// body returns the body of the next attempt. Bodies of chat calls get the
// customer as the salt of the prompt cache and, after a cut, the position to
// resume from; all other fields stay as the caller sent them.
func (y *delivery) body() ([]byte, error) {
	c := y.c
	if c.Chat == nil {
		return c.Body, nil
	}
	var resume *api.Resume
	if c.Started {
		resume = y.stream.position(c.Chat.Resume)
	}
	if resume == nil && c.Chat.CacheSalt == "" {
		return appendSalt(c.Body, c.Customer)
	}
	return rewriteBody(c.Body, c.Customer, resume)
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

// appendSalt adds the salt as the last field of a body that has none.
func appendSalt(body []byte, customer string) ([]byte, error) {
	body = bytes.TrimRight(body, " \t\r\n")
	open, ok := bytes.CutSuffix(body, []byte("}"))
	if !ok || len(bytes.TrimRight(open, " \t\r\n")) < 2 {
		return rewriteBody(body, customer, nil)
	}
	salt, err := json.Marshal(customer)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, len(open)+len(salt)+20)
	out = append(out, open...)
	out = append(out, `,"cache_salt":`...)
	out = append(out, salt...)
	return append(out, '}'), nil
}

// rewriteBody sets the salt and the position in a body.
func rewriteBody(body []byte, customer string, resume *api.Resume) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		fields = make(map[string]json.RawMessage)
	}
	salt, err := json.Marshal(customer)
	if err != nil {
		return nil, err
	}
	fields["cache_salt"] = salt
	if resume == nil {
		return json.Marshal(fields)
	}
	if fields["resume"], err = json.Marshal(resume); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

package sidecar

import (
	"encoding/json"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

const (
	// tokenBytes estimates the length of a token of a prompt.
	tokenBytes = 4
	// defaultAnswerTokens estimates an answer without max_tokens.
	defaultAnswerTokens = 256

	chatPath = "/v1/chat/completions"
)

// prompt is the body of a call to a model engine.
type prompt struct {
	fields map[string]json.RawMessage
	size   int // bytes as received
}

// parsePrompt reads the body of a call to a model engine.
func parsePrompt(body []byte) (*prompt, error) {
	p := &prompt{size: len(body)}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, err
	}
	return p, nil
}

// set replaces a field.
func (p *prompt) set(name string, value any) {
	b, err := json.Marshal(value)
	if err == nil {
		p.fields[name] = b
	}
}

// salt separates the prompt cache of a customer from the others'. A salt of
// the caller's choice is replaced.
func (p *prompt) salt(customer string) { p.set("cache_salt", customer) }

func (p *prompt) bytes() []byte {
	b, _ := json.Marshal(p.fields)
	return b
}

// promptTokens estimates the tokens of the prompt.
func (p *prompt) promptTokens() float64 { return float64(p.size / tokenBytes) }

// cost estimates the tokens of the prompt and the answer.
func (p *prompt) cost() float64 {
	answer := 0
	_ = json.Unmarshal(p.fields["max_tokens"], &answer)
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	return p.promptTokens() + float64(answer)
}

// unmergeable are fields whose answers can't be put together from a stream of
// text.
var unmergeable = []string{"n", "tools", "functions", "logprobs", "audio"}

// mergeable reports whether the whole answer can be put together from its
// stream.
func (p *prompt) mergeable() bool {
	for _, name := range unmergeable {
		if _, ok := p.fields[name]; ok {
			return false
		}
	}
	return true
}

// resume continues an answer that was cut, as a stream.
func (p *prompt) resume(from *api.Resume) {
	p.set("stream", true)
	if from != nil {
		p.set("resume", from)
	}
}

// prepare reads and salts the body of an online request and estimates its
// cost. Calls to plain services cost the same each.
func (s *Sidecar) prepare(req *request, d config.Deployment) (cost float64, failure *api.Error) {
	if d.Kind != config.KindModel || len(req.Body) == 0 {
		return 1, nil
	}
	p, err := parsePrompt(req.Body)
	if err != nil {
		return 0, api.NewError(400, api.CodeBadRequest, "request body is not a JSON object")
	}
	p.salt(req.Customer)
	req.Body = p.bytes()
	return p.cost(), nil
}

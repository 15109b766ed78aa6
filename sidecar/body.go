package sidecar

import (
	"bytes"
	"encoding/json"
	"strings"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

const (
	// tokenBytes estimates the length of a token of a prompt.
	tokenBytes = 4
	// defaultAnswerTokens estimates an answer without max_tokens.
	defaultResponseTokens = 256

	chatPath = "/v1/chat/completions"
)

// prompt is the body of a call to a model engine.
type modelBody struct {
	fields map[string]json.RawMessage
	size   int // bytes as received
}

// parsePrompt reads the body of a call to a model engine.
func parseModelBody(body []byte) (*modelBody, error) {
	p := &modelBody{size: len(body)}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, err
	}
	return p, nil
}

// set replaces a field, however its name is capitalised: some engines match
// names without regard to case.
func (p *modelBody) set(name string, value any) {
	for other := range p.fields {
		if strings.EqualFold(other, name) {
			delete(p.fields, other)
		}
	}
	b, err := json.Marshal(value)
	if err == nil {
		p.fields[name] = b
	}
}

const cacheSaltField = "cache_salt"

// salt separates the prompt cache of a customer from the others'. A salt of
// the caller's choice is replaced.
func (p *modelBody) setCacheSalt(customer string) { p.set(cacheSaltField, customer) }

func (p *modelBody) bytes() []byte {
	b, _ := json.Marshal(p.fields)
	return b
}

// promptTokens estimates the tokens of the prompt.
func (p *modelBody) promptTokens() float64 { return float64(p.size / tokenBytes) }

// estimate returns the tokens of a prompt of that many bytes and its answer.
func estimateCost(bytes, maxTokens int) float64 {
	if maxTokens <= 0 {
		maxTokens = defaultResponseTokens
	}
	return float64(bytes/tokenBytes + maxTokens)
}

// unmergeable are fields whose answers can't be put together from a stream of
// text.
var unmergeableFields = []string{"n", "tools", "functions", "logprobs", "audio"}

// mergeable reports whether the whole answer can be put together from its
// stream.
func (p *modelBody) mergeable() bool {
	for _, name := range unmergeableFields {
		if _, ok := p.fields[name]; ok {
			return false
		}
	}
	return true
}

// resume continues an answer that was cut, as a stream.
func (p *modelBody) setResume(from *api.Resume) {
	p.set("stream", true)
	if from != nil {
		p.set("resume", from)
	}
}

// prepare reads and salts the body of an online request and estimates its
// cost. Calls to plain services cost the same each.
func (s *Sidecar) prepareBody(req *request, d config.Deployment) (cost float64, failure *api.Error) {
	if d.Kind != config.KindModel || len(req.Body) == 0 {
		return 1, nil
	}
	var head struct {
		MaxTokens int `json:"max_tokens"`
	}
	if err := json.Unmarshal(req.Body, &head); err != nil {
		return 0, api.NewError(400, api.CodeBadRequest, "request body is not a valid JSON object")
	}
	cost = estimateCost(len(req.Body), head.MaxTokens)
	if salted, ok := spliceCacheSalt(req.Body, req.Customer); ok {
		req.Body = salted
		return cost, nil
	}
	p, err := parseModelBody(req.Body)
	if err != nil {
		return 0, api.NewError(400, api.CodeBadRequest, "request body is not a JSON object")
	}
	p.setCacheSalt(req.Customer)
	req.Body = p.bytes()
	return cost, nil
}

// spliceSalt puts the salt in front of the fields of a valid JSON object
// without parsing it. It returns false if the object could have a salt of its
// own, whose name may be written with escapes.
func spliceCacheSalt(body []byte, customer string) ([]byte, bool) {
	body = bytes.TrimLeft(body, " \t\r\n")
	if len(body) == 0 || body[0] != '{' || mayContainCacheSalt(body) {
		return nil, false
	}
	rest := bytes.TrimLeft(body[1:], " \t\r\n")
	if rest[0] == '}' {
		return nil, false
	}
	name, err := json.Marshal(customer)
	if err != nil {
		return nil, false
	}
	out := make([]byte, 0, len(body)+len(name)+len(cacheSaltField)+4)
	out = append(out, `{"`+cacheSaltField+`":`...)
	out = append(out, name...)
	out = append(out, ',')
	return append(out, rest...), true
}

// mayHaveSalt reports whether the name of the salt, in any case, or an escaped
// character is anywhere in body.
func mayContainCacheSalt(body []byte) bool {
	if bytes.Contains(body, []byte(`\u`)) {
		return true
	}
	prefix := len("cache")
	for i := prefix; i < len(body); i++ {
		next := bytes.IndexByte(body[i:], '_')
		if next < 0 {
			return false
		}
		i += next
		end := min(len(body), i-prefix+len(cacheSaltField))
		if bytes.EqualFold(body[i-prefix:end], []byte(cacheSaltField)) {
			return true
		}
	}
	return false
}

package sidecar

import (
	"bytes"
	"encoding/json"
	"strings"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

const (
	// tokenBytes estimates the bytes of one token of a prompt.
	tokenBytes = 4
	// defaultResponseTokens estimates the tokens of a response to a request
	// without max_tokens.
	defaultResponseTokens = 256

	chatPath = "/v1/chat/completions"
)

// modelBody is the parsed JSON body of a request to a model engine.
type modelBody struct {
	fields map[string]json.RawMessage
	size   int // bytes as received
}

// parseModelBody parses the body of a request to a model engine. It returns an
// error if body is not a JSON object.
func parseModelBody(body []byte) (*modelBody, error) {
	m := &modelBody{size: len(body)}
	if err := json.Unmarshal(body, &m.fields); err != nil {
		return nil, err
	}
	return m, nil
}

// set replaces a field, matching its name without regard to case as some engines
// do.
func (m *modelBody) set(name string, value any) {
	for other := range m.fields {
		if strings.EqualFold(other, name) {
			delete(m.fields, other)
		}
	}
	b, err := json.Marshal(value)
	if err == nil {
		m.fields[name] = b
	}
}

const cacheSaltField = "cache_salt"

// setCacheSalt sets the cache salt to the customer, which separates the prompt
// caches of customers. A salt in the request is replaced.
func (m *modelBody) setCacheSalt(customer string) { m.set(cacheSaltField, customer) }

// bytes returns the body as JSON.
func (m *modelBody) bytes() []byte {
	b, _ := json.Marshal(m.fields)
	return b
}

// promptTokens estimates the tokens of the prompt.
func (m *modelBody) promptTokens() float64 { return float64(m.size / tokenBytes) }

// estimateCost estimates the cost of a request in tokens: those of its prompt,
// from the size of the request in bytes, and those of its response.
func estimateCost(bytes, maxTokens int) float64 {
	if maxTokens <= 0 {
		maxTokens = defaultResponseTokens
	}
	return float64(bytes/tokenBytes + maxTokens)
}

// unmergeableFields lists the request fields for which a response can't be
// assembled from its stream of text.
var unmergeableFields = []string{"n", "tools", "functions", "logprobs", "audio"}

// mergeable reports whether the complete response can be assembled from its
// stream.
func (m *modelBody) mergeable() bool {
	for _, name := range unmergeableFields {
		if _, ok := m.fields[name]; ok {
			return false
		}
	}
	return true
}

// setResume requests a streamed response that continues after from, which may be
// nil.
func (m *modelBody) setResume(from *api.Resume) {
	m.set("stream", true)
	if from != nil {
		m.set("resume", from)
	}
}

// checkResume refuses to continue a text that software of another version has generated.
func (s *Sidecar) checkResume(from *api.Resume) *api.Error {
	if from == nil || from.Version == s.settings.EndpointVersion {
		return nil
	}
	return from.VersionError()
}

// prepareBody sets the cache salt in the body of an online request to a model
// engine and estimates its cost in tokens. A request to a plain service or without
// a body costs 1.
func (s *Sidecar) prepareBody(req *request, d config.Deployment) (cost float64, failure *api.Error) {
	if d.Kind != config.KindModel || len(req.Body) == 0 {
		return 1, nil
	}
	var head struct {
		MaxTokens int         `json:"max_tokens"`
		Resume    *api.Resume `json:"resume"`
	}
	if err := json.Unmarshal(req.Body, &head); err != nil {
		return 0, api.NewError(400, api.CodeBadRequest, "request body is not a valid JSON object")
	}
	if failure := s.checkResume(head.Resume); failure != nil {
		return 0, failure
	}
	cost = estimateCost(len(req.Body), head.MaxTokens)
	if salted, ok := spliceCacheSalt(req.Body, req.Customer); ok {
		req.Body = salted
		return cost, nil
	}
	m, err := parseModelBody(req.Body)
	if err != nil {
		return 0, api.NewError(400, api.CodeBadRequest, "request body is not a JSON object")
	}
	m.setCacheSalt(req.Customer)
	req.Body = m.bytes()
	return cost, nil
}

// spliceCacheSalt inserts the cache salt before the fields of a valid JSON object
// without parsing it. It returns false if the object is empty or may have a cache
// salt of its own, whose name may be written with escapes.
func spliceCacheSalt(body []byte, customer string) ([]byte, bool) {
	body = bytes.TrimLeft(body, " \t\r\n")
	if len(body) == 0 || body[0] != '{' || mayContainCacheSalt(body) {
		return nil, false
	}
	rest := bytes.TrimLeft(body[1:], " \t\r\n")
	if rest[0] == '}' {
		return nil, false
	}
	salt, err := json.Marshal(customer)
	if err != nil {
		return nil, false
	}
	out := make([]byte, 0, len(body)+len(salt)+len(cacheSaltField)+4)
	out = append(out, `{"`+cacheSaltField+`":`...)
	out = append(out, salt...)
	out = append(out, ',')
	return append(out, rest...), true
}

// mayContainCacheSalt reports whether body contains the name of the cache salt,
// in any case, or an escaped character.
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

package api

import (
	"encoding/json"
	"net/http"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat-completions request that this system and
// its stand-in engines read. Other fields are passed on unchanged.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// CacheSalt isolates the prompt caches of customers from each other.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Resume continues an interrupted generation after the tokens already
	// generated.
	Resume *Resume `json:"resume,omitempty"`
}

// Resume is the position from which an engine continues a generation: the text so
// far and its number of tokens.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Version is that of the software that generated the text, as in
	// HeaderEndpointVersion of its response; empty: the response had none. Software of
	// another version does not continue the text.
	Version string `json:"version,omitempty"`
}

// VersionError returns the error for a text that is not continued, as no endpoint that was
// considered has the version of the software that generated it.
func (r *Resume) VersionError() *Error {
	if r.Version == "" {
		return NewError(http.StatusServiceUnavailable, CodeVersionUnknown, "resume.version is missing: it names the version of the software that generated the text")
	}
	return NewError(http.StatusServiceUnavailable, CodeVersionGone, "the endpoint's software has another version than the one that generated the text")
}

// ChatChoice is one choice of a chat completion.
type ChatChoice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens found in the prompt cache
}

// ChatResponse is a complete chat completion or one chunk of a stream.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// BatchLine is one line of a batch input file.
type BatchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

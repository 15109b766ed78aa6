package engine

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/api"
)

// promptText returns the prompt of a request: the roles and contents of its messages.
func promptText(r *api.ChatRequest) []byte {
	var b bytes.Buffer
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// responseSeed returns the seed of the response to a request. It depends on the model
// and the messages only.
func responseSeed(r *api.ChatRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(promptText(r))
	return d.Sum64()
}

// responseToken returns the token at index i of the response with that seed.
func responseToken(seed uint64, i int) string {
	d := xxhash.NewWithSeed(seed)
	_, _ = fmt.Fprint(d, i)
	return fmt.Sprintf("%03x ", d.Sum64()&0xfff)
}

// ResponseText returns the text of the response of every engine to r with that number
// of tokens.
func ResponseText(r *api.ChatRequest, tokens int) string {
	var b strings.Builder
	seed := responseSeed(r)
	for i := range tokens {
		b.WriteString(responseToken(seed, i))
	}
	return b.String()
}

// completionID returns the ID of the completion, which is the same for requests with
// equal models and messages.
func completionID(r *api.ChatRequest) string {
	return fmt.Sprintf("chatcmpl-%016x", responseSeed(r))
}

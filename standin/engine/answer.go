package engine

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/api"
)

// promptText returns the text that the engine reads for a request.
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

// answerSeed depends on the model and the messages only.
func answerSeed(r *api.ChatRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(promptText(r))
	return d.Sum64()
}

// answerToken returns the token at index i of the answer with that seed.
func answerToken(seed uint64, i int) string {
	d := xxhash.NewWithSeed(seed)
	_, _ = fmt.Fprint(d, i)
	return fmt.Sprintf("%03x ", d.Sum64()&0xfff)
}

// ResponseText returns the whole text that every engine gives to a request for
// that many tokens.
func ResponseText(r *api.ChatRequest, tokens int) string {
	var b strings.Builder
	seed := answerSeed(r)
	for i := range tokens {
		b.WriteString(answerToken(seed, i))
	}
	return b.String()
}

// answerID is the id of the completion: the same for the same request.
func answerID(r *api.ChatRequest) string {
	return fmt.Sprintf("chatcmpl-%016x", answerSeed(r))
}

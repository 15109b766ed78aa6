package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"dandelionrelay/api"
)

// words is the vocabulary of prompts. One word is about one token.
var words = []string{"bean", "seed", "amaranth", "swap", "pickup", "gate", "rack", "bike", "ledger", "market"}

// text returns n words. They depend on kind, serial and n only.
func text(kind string, serial, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s-%d", kind, serial)
	for i := 1; i < n; i++ {
		b.WriteByte(' ')
		b.WriteString(words[(serial+i*7)%len(words)])
	}
	return b.String()
}

// chat returns the body of a chat-completions request.
func (p *Plan) chat(model string, a Arrival, stream bool) []byte {
	var messages []api.Message
	if p.Prefixes > 0 {
		messages = append(messages, api.Message{Role: "system", Content: text("prefix", a.Prefix, p.PrefixTokens)})
	}
	messages = append(messages, api.Message{Role: "user", Content: text("request", a.Serial, p.PromptTokens)})
	body, err := json.Marshal(api.ChatRequest{Model: model, Messages: messages, MaxTokens: p.MaxTokens, Stream: stream})
	if err != nil {
		panic(err) // a ChatRequest always encodes
	}
	return body
}

// lines returns the JSON Lines file of a batch. Serials of items start at 1,000,000, so
// that their prompts differ from those of the online load.
func (p *Plan) lines(model string, b Batch) []byte {
	var out []byte
	for i := range b.Items {
		body := p.chat(model, Arrival{Serial: 1_000_000 + i, Prefix: i % max(1, p.Prefixes)}, false)
		line, err := json.Marshal(api.BatchLine{
			CustomID: fmt.Sprintf("item-%d", i),
			Method:   "POST",
			URL:      "/v1/chat/completions",
			Body:     body,
		})
		if err != nil {
			panic(err) // a BatchLine always encodes
		}
		out = append(append(out, line...), '\n')
	}
	return out
}

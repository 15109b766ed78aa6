// Package quarantine detects requests that crash the endpoints that run them
// and prevents further attempts in the whole fleet.
//
// A request is identified by a digest of its customer, path and body. When an
// endpoint crashes, the requests in flight there become suspects. A caller that
// isolates suspects (packages dispatch and jobs) runs each alone at one of the
// IsolationEndpoints, so that the next crash can be attributed to it; these take
// other requests while no suspect runs or waits there. Package online
// acts on Quarantined only. A request is quarantined after SoloCrashThreshold
// crashes if the endpoint ran nothing else in at least one of them, and after
// CrashThreshold crashes otherwise. A suspect that completes is cleared.
//
// Requests that are all different may share the part of their prompts that crashes
// endpoints. Crashes are therefore held against the parts of prompts as well, and requests
// with a quarantined part are rejected; see partTable.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Digest identifies a request by its customer, path and body.
type Digest [16]byte

// DigestOf returns the digest of a request. path includes the query string.
func DigestOf(customer, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return Digest(sum[:len(Digest{})])
}

// String returns d in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	want := hex.EncodedLen(len(d))
	if len(b) != want {
		return fmt.Errorf("a digest has %d hexadecimal digits, not %d", want, len(b))
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// DigestOfCall returns the digest of the request of c.
func DigestOfCall(c *pipeline.Call) Digest {
	return DigestOf(c.Customer, c.R.URL.RequestURI(), c.Body)
}

// maxMessageParts is the number of messages of a chat that count as prompt parts.
const maxMessageParts = 16

// PromptParts returns the IDs of the parts of the prompt of c that other requests may
// share. If they are not set, they are derived from the messages of the chat, without the
// last one.
func PromptParts(c *pipeline.Call) []string {
	if c.PromptParts == nil && c.Chat != nil {
		c.PromptParts = messageParts(c.Chat.Messages)
	}
	return c.PromptParts
}

// messageParts returns an ID of each of the first messages but the last, up to
// maxMessageParts.
func messageParts(messages []api.Message) []string {
	ids := []string{}
	for i := 0; i < min(len(messages)-1, maxMessageParts); i++ {
		ids = append(ids, DigestOf("", messages[i].Role, []byte(messages[i].Content)).String())
	}
	return ids
}

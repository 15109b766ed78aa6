package sidecar_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/engine"
)

// TestSidecar_SetsCacheSaltToCustomer guards against a caller that sets the cache
// salt of another customer, in any spelling that an engine may accept, to read
// its prompt cache.
func TestSidecar_SetsCacheSaltToCustomer(t *testing.T) {
	fields := `"model":"m","max_tokens":1,"messages":[{"role":"user","content":"hello"}]`
	bodies := []string{
		`{` + fields + `}`,
		` { ` + fields + `}`,
		`{"cache_salt":"victim",` + fields + `}`,
		`{` + fields + `,"cache_salt":"victim"}`,
		`{` + fields + `,"Cache_SALT":"victim"}`,
		`{` + fields + `,"cache\u005fsalt":"victim"}`,
		`{"x_":1,` + fields + `,"_cache_salt":1,"cache_salt":"victim","cache_salt":"victim"}`,
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		for i, body := range bodies {
			got := f.result(t.Context(), call{id: string(rune('a' + i)), customer: `acme"`, body: json.RawMessage(body)})
			g.Expect(got.failure).To(gomega.BeNil(), body)
			seen := e.Requests()[i].Body
			var all map[string]any
			g.Expect(json.Unmarshal(seen, &all)).To(gomega.Succeed())
			g.Expect(all["cache_salt"]).To(gomega.Equal(`acme"`))
			g.Expect(strings.Contains(string(seen), "victim")).To(gomega.BeFalse(), "%s", seen)
			g.Expect(all["messages"]).To(gomega.HaveLen(1))
		}
	})
}

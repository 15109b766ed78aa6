package authn_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/pipeline"
)

// BenchmarkKeyCheck measures Identify and Authorize for one request with a body
// of 4 KiB, by the number of configured keys.
func BenchmarkKeyCheck(b *testing.B) {
	for _, n := range []int{740, 7400, 74000} {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			state := &config.State{Customers: map[string]config.Customer{"north": {}}, Keys: make(map[string]config.Key, n)}
			for i := range n {
				state.Keys[fmt.Sprint("k", i)] = config.Key{Customer: "north", Digest: authn.Digest(keyText(i))}
			}
			holder := new(config.Holder)
			holder.Set(config.NewSnapshot(1, state))
			authorizer := &authn.Authorizer{Source: holder, ActiveCalls: authn.NewActiveCalls(nil)}
			handle := pipeline.Chain(
				func(context.Context, *pipeline.Call) *api.Error { return nil },
				authn.Identify(holder), authorizer.Authorize(),
			)
			r := httptest.NewRequest("POST", "/v1/chat/completions", nil)
			r.Header.Set("Authorization", "Bearer "+keyText(n/2))
			body := []byte(strings.Repeat("four", 1024))
			b.ReportAllocs()
			for b.Loop() {
				c := &pipeline.Call{R: r, Body: body}
				if err := handle(b.Context(), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

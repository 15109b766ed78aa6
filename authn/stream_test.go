package authn_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/pipeline"
)

// TestIdentify_StreamedBodyWithKeyFails splits streamed bodies in several ways: a
// key in the body must be found wherever the reads split it.
func TestIdentify_StreamedBodyWithKeyFails(t *testing.T) {
	filler := strings.Repeat("beans ", 500)
	escaped := `\u0064` + key[1:]
	tests := map[string]struct {
		body string
		ok   bool
	}{
		"clean":            {filler, true},
		"part of the key":  {filler + key[:len(key)-1] + " " + filler, true},
		"key":              {filler + key + filler, false},
		"key in escapes":   {filler + escaped + filler, false},
		"key after escape": {`a\"` + key, false},
	}
	readers := map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader}
	for name, test := range tests {
		for chunking, reader := range readers {
			t.Run(name+" in "+chunking, func(t *testing.T) {
				g := gomega.NewWithT(t)
				r := httptest.NewRequest("POST", "/v1/files", nil)
				r.Body = io.NopCloser(reader(strings.NewReader(test.body)))
				r.Header.Set("Authorization", "Bearer "+key)
				c := &pipeline.Call{W: httptest.NewRecorder(), R: r}
				var got []byte
				var readErr error
				handle := pipeline.Chain(func(_ context.Context, c *pipeline.Call) *api.Error {
					got, readErr = io.ReadAll(c.R.Body)
					return nil
				}, authn.Identify(testConfig()))
				g.Expect(handle(t.Context(), c)).To(gomega.BeNil())
				g.Expect(readErr == nil).To(gomega.Equal(test.ok))
				g.Expect(test.ok).To(gomega.Equal(string(got) == test.body))
				g.Expect(string(got)).NotTo(gomega.ContainSubstring(key))
			})
		}
	}
}

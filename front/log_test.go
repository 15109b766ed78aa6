package front

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/pipeline"
)

// panicLog returns the answer to a call whose handler panics, and the log.
func panicLog(handle pipeline.Handler) (*httptest.ResponseRecorder, string) {
	var book bytes.Buffer
	f := New(handle, new(config.Holder), 1<<10, zerolog.New(&book), NewMetrics(prometheus.NewRegistry()))
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("marked prompt")))
	return w, book.String()
}

func TestThePanicOfAHandlerShowsNoText(t *testing.T) {
	g := gomega.NewWithT(t)
	w, text := panicLog(func(_ context.Context, c *pipeline.Call) *api.Error {
		panic(errors.New("can't parse " + string(c.Body)))
	})
	g.Expect(w.Code).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(text).To(gomega.ContainSubstring("request handler panicked"))
	g.Expect(text).To(gomega.ContainSubstring("*errors.errorString"))
	g.Expect(text).To(gomega.ContainSubstring("front/log_test.go"), "where it happened")
	g.Expect(text).NotTo(gomega.ContainSubstring("marked prompt"))
}

func TestThePanicOfTheRuntimeIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	_, text := panicLog(func(_ context.Context, c *pipeline.Call) *api.Error {
		_ = c.Body[len(c.Body)]
		return nil
	})
	g.Expect(text).To(gomega.ContainSubstring("index out of range"))
}

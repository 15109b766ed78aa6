package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/pipeline"
)

// discard is a ResponseWriter that drops what is written.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// BenchmarkEvent compares writing one event of a stream without and with metrics:
//
//	go test ./front -run - -bench Event -benchmem
func BenchmarkEvent(b *testing.B) {
	out := discard{header: http.Header{"Content-Type": {"text/event-stream"}}}
	call := &pipeline.Call{Customer: "garden", Received: time.Now()}
	for name, w := range map[string]http.ResponseWriter{
		"plain":    out,
		"observed": &streamWriter{ResponseWriter: out, call: call, metrics: NewMetrics(prometheus.NewRegistry())},
	} {
		b.Run(name, func(b *testing.B) {
			event := []byte("data: x\n\n")
			b.ReportAllocs()
			for b.Loop() {
				_, _ = w.Write(event)
			}
		})
	}
}

package streams

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// streamUnframed sends a response that ends with its connection.
func (e *Endpoint) streamUnframed(w http.ResponseWriter, id string, last int, b Behaviour) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(c) // write errors mean that the caller has left
	_, _ = fmt.Fprint(c, "\r\n")
	delay := e.FirstEventDelay
	for n := last + 1; n <= e.Events && b.EndAfter >= 0; n++ {
		time.Sleep(delay)
		delay = e.EventInterval
		text := e.event(id, n)
		if b.EndAfter > 0 && n-last > b.EndAfter {
			_, _ = fmt.Fprint(c, text[:len(text)-3])
			return
		}
		if _, err := fmt.Fprint(c, text); err != nil {
			return
		}
	}
}

// streamAfter writes b.Before to the connection, and then a response in chunks.
func (e *Endpoint) streamAfter(w http.ResponseWriter, r *http.Request, id string, last int, b Behaviour) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	// Write errors mean that the caller has left.
	_, _ = fmt.Fprint(c, b.Before, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
	_ = w.Header().Write(c)
	_, _ = fmt.Fprint(c, "\r\n")
	body := httputil.NewChunkedWriter(c)
	e.stream(&rawWriter{Writer: body}, r, id, last, b)
	_ = body.Close()
	_, _ = fmt.Fprint(c, "\r\n")
}

// rawWriter is a ResponseWriter for a body whose head is written already.
type rawWriter struct{ io.Writer }

// Header implements http.ResponseWriter.
func (*rawWriter) Header() http.Header { return nil }

// WriteHeader implements http.ResponseWriter.
func (*rawWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (*rawWriter) Flush() {}

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id string, last int, b Behaviour) {
	if b.Insert != "" && b.InsertAfter == 0 {
		_, _ = io.WriteString(w, b.Insert)
		if b.EndAfterInsert {
			return
		}
	}
	delay := e.FirstEventDelay
	for n := last + 1; n <= e.Events || b.Endless; n++ {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		delay = e.EventInterval
		_, _ = w.Write([]byte(e.event(id, n)))
		_ = http.NewResponseController(w).Flush()
		if b.Insert != "" && b.InsertAfter == n-last {
			_, _ = io.WriteString(w, b.Insert)
			if b.EndAfterInsert {
				return
			}
		}
		if b.AbortAfter == n-last {
			panic(http.ErrAbortHandler)
		}
		if b.StallAfter == n-last {
			<-r.Context().Done()
			return
		}
	}
}

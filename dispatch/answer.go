package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

const (
	maxErrorBytes = 64 << 10 // largest error body read from a sidecar
	copyBytes     = 32 << 10 // largest piece of an answer passed on at once
)

// returnedHeaders are the only headers of an endpoint that reach the caller.
var returnedHeaders = []string{
	"Content-Type", "Content-Language", "Content-Encoding", "Cache-Control", "Retry-After",
}

// vouched returns the error that the sidecar itself answered with, or nil if
// the answer is the endpoint's.
func vouched(resp *http.Response) *api.Error {
	outcome := api.Outcome(resp.Header.Get(api.HeaderOutcome))
	if outcome != api.NotRun && outcome != api.Unknown {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := api.ReadError(resp.StatusCode, resp.Header, body)
	if e == nil {
		return lost(outcome)
	}
	return e.WithOutcome(outcome)
}

// relay passes the endpoint's answer on, piece by piece.
func (a *attempt) relay(ctx context.Context, c *pipeline.Call, resp *http.Response) *api.Error {
	h := c.W.Header()
	for _, name := range returnedHeaders {
		if v := resp.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(api.HeaderRequestID, c.ID)
	h.Set(api.HeaderOutcome, string(api.Done))
	c.W.WriteHeader(resp.StatusCode)
	c.Started = true
	flush := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if err := copyAnswer(c.W, resp.Body, flush); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func copyAnswer(w http.ResponseWriter, body io.Reader, flush bool) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if n > 0 && flush {
			_ = rc.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

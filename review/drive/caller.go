//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int // 0: no answer, or an incomplete one
	header http.Header
	body   []byte
	err    error
}

var attempts atomic.Int64

// newID returns a new attempt ID.
func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, attempts.Add(1)) }

// call sends one request on a new connection and reads the whole answer.
func (cl *cluster) call(e *entry, method, path, key string, header map[string]string, body []byte, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, header: response.Header, body: content}
	}
	return answer{status: response.StatusCode, header: response.Header, body: content}
}

// ask sends one request on an online route.
func (cl *cluster) ask(e *entry, id, path, key string, header map[string]string, body []byte) answer {
	h := map[string]string{names.Attempt: id, names.Deadline: "5000", names.Model: "m", names.TokenUsage: "450,34"}
	for name, value := range header {
		h[name] = value
	}
	cl.record.printf("caller sends %s to %s, path %s", id, e.name, path)
	a := cl.call(e, http.MethodPost, path, key, h, body, 6*time.Second)
	cl.record.printf("caller gets for %s: %s", id, a)
	return a
}

// String returns the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	if len(a.body) > 0 && a.header.Get(names.Signature) == "" {
		return fmt.Sprintf("status %d %.200s", a.status, a.body)
	}
	return fmt.Sprintf("status %d, %d bytes, signature %q", a.status, len(a.body), a.header.Get(names.Signature))
}

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokenCount"`
}

func newItem(id, path string) item {
	return item{
		ID: id, Path: path, Tokens: 580, Body: base64.StdEncoding.EncodeToString([]byte("ledger of " + id)),
		Headers: map[string]string{names.Model: "m", names.TokenUsage: "350,230"},
	}
}

// submit hands in a batch job at one entry after the other until one answers 202.
func (cl *cluster) submit(id, path, key string, items []item) (*entry, error) {
	body, err := json.Marshal(map[string]any{"entries": items})
	if err != nil {
		return nil, err
	}
	for range 3 {
		for _, e := range cl.entries {
			cl.record.printf("caller hands in job %s with %d items at %s", id, len(items), e.name)
			a := cl.call(e, http.MethodPost, path, key, map[string]string{names.Attempt: id, names.Deadline: "4000", "Content-Type": "application/json"}, body, 5500*time.Millisecond)
			cl.record.printf("caller gets for job %s: %s", id, a)
			if a.status == http.StatusAccepted {
				return e, nil
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s is not accepted", id)
}

// result is one result of a batch job.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads all results of a job at an entry.
func (cl *cluster) results(e *entry, job, key string) (list []result, total int, err error) {
	for {
		a := cl.call(e, http.MethodGet, names.JobPath+job+"?after="+strconv.Itoa(len(list)), key, nil, nil, 3*time.Second)
		if a.status != http.StatusOK {
			return list, total, fmt.Errorf("results of job %s: %s", job, a)
		}
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(a.body, &page); err != nil {
			return list, total, err
		}
		total = page.Total
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= total {
			cl.record.printf("%s lists %d of %d results of job %s", e.name, len(list), total, job)
			return list, total, nil
		}
	}
}

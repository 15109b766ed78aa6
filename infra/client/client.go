// Package client reaches the platform's log, instance list and weight store
// over HTTP. docs/API.md describes the protocol.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dandelionrelay/infra"
)

// Paths of the platform's HTTP interface.
const (
	PathRecords   = "/v1/records"   // GET, POST ?stream=
	PathBounds    = "/v1/bounds"    // GET ?stream=
	PathInstances = "/v1/instances" // GET; PUT at the stand-in
	PathWeights   = "/v1/weights"   // GET
)

// CallTimeout bounds each call, beyond the wait that a read asks for.
const CallTimeout = 2 * time.Second

// maxAnswerBytes bounds the answer to one call.
const maxAnswerBytes = 64 << 20

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset infra.Offset `json:"offset"`
}

// ReadResponse is the answer to a read.
type ReadResponse struct {
	Records []infra.Record `json:"records"`
}

// Bounds is the answer to a question for the bounds of a stream, and the body
// of a 410 answer to a read from an expired offset.
type Bounds struct {
	Oldest infra.Offset `json:"oldest"`
	Next   infra.Offset `json:"next"`
}

// InstanceList is the platform's instance list.
type InstanceList struct {
	Instances []infra.Instance `json:"instances"`
}

// WeightsResponse is the answer of the weight store.
type WeightsResponse struct {
	LoadsPerMinute int `json:"loads_per_minute"`
}

// Client implements infra.Log, infra.Instances and infra.Weights.
type Client struct {
	base string // such as http://127.0.0.1:7000
	http *http.Client
	list atomic.Pointer[cachedList]
}

// cachedList is the instance list last read with its entity tag.
type cachedList struct {
	tag       string
	instances []infra.Instance
}

// New returns a Client of the platform at base, an http URL without a path.
// A nil transport means one of its own.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = newTransport()
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

func newTransport() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 16} }

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	query := url.Values{"stream": {stream}, "id": {id}}
	var out AppendResponse
	err := c.call(ctx, http.MethodPost, PathRecords, query, data, 0, &out)
	return out.Offset, err
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	query := url.Values{
		"stream":  {stream},
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var out ReadResponse
	err := c.call(ctx, http.MethodGet, PathRecords, query, nil, wait, &out)
	if expired, ok := err.(*infra.ExpiredError); ok {
		expired.Stream = stream
		expired.From = from
	}
	return out.Records, err
}

// Bounds implements infra.Log.
func (c *Client) Bounds(ctx context.Context, stream string) (oldest, next infra.Offset, err error) {
	var out Bounds
	err = c.call(ctx, http.MethodGet, PathBounds, url.Values{"stream": {stream}}, nil, 0, &out)
	return out.Oldest, out.Next, err
}

// List implements infra.Instances. The list is large and changes rarely: it
// is asked for by its entity tag, so that an unchanged one is not sent again.
func (c *Client) List(ctx context.Context) ([]infra.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathInstances, nil)
	if err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	known := c.list.Load()
	if known != nil {
		req.Header.Set("If-None-Match", known.tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && known != nil {
		return known.instances, nil
	}
	var out InstanceList
	if err := decode(resp, &out); err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	if tag := resp.Header.Get("ETag"); tag != "" {
		c.list.Store(&cachedList{tag: tag, instances: out.Instances})
	}
	return out.Instances, nil
}

// LoadsPerMinute implements infra.Weights.
func (c *Client) LoadsPerMinute(ctx context.Context) (int, error) {
	var out WeightsResponse
	err := c.call(ctx, http.MethodGet, PathWeights, nil, nil, 0, &out)
	return out.LoadsPerMinute, err
}

// call makes one request and decodes its answer into out. Whatever goes wrong
// but an expired offset is infra.Unavailable.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout+wait)
	defer cancel()
	target := c.base + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return infra.Unavailable.Wrap(err, "%s %s", method, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return infra.Unavailable.Wrap(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		var bounds Bounds
		if err := json.NewDecoder(resp.Body).Decode(&bounds); err != nil {
			return infra.Unavailable.Wrap(err, "%s %s", method, path)
		}
		return &infra.ExpiredError{Oldest: bounds.Oldest}
	}
	if err := decode(resp, out); err != nil {
		return infra.Unavailable.Wrap(err, "%s %s", method, path)
	}
	return nil
}

// decode reads the document of an answer that must have status 200.
func decode(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		return infra.Unavailable.New("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out)
}

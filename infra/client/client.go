// Package client is the HTTP client of the platform's log, instance list and
// weight store. docs/API.md describes the protocol.
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

// CallTimeout is the timeout of each call, to which a read adds its wait.
const CallTimeout = 2 * time.Second

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset infra.Offset `json:"offset"`
}

// ReadResponse is the response to a read of records.
type ReadResponse struct {
	Records []infra.Record `json:"records"`
}

// Bounds is the response to a request for the bounds of a stream, and the body of
// the 410 response to a read from an expired offset.
type Bounds struct {
	Oldest infra.Offset `json:"oldest"`
	Next   infra.Offset `json:"next"`
}

// InstanceList is the response to a request for the instance list, and the body
// of a PUT at the stand-in.
type InstanceList struct {
	Instances []infra.Instance `json:"instances"`
}

// WeightsResponse is the response of the weight store.
type WeightsResponse struct {
	LoadsPerMinute int `json:"loads_per_minute"`
}

// Client implements infra.Log, infra.Instances and infra.Weights. It is safe for
// concurrent use.
type Client struct {
	baseURL    atomic.Pointer[string] // such as http://127.0.0.1:7000
	httpClient *http.Client
	list       atomic.Pointer[cachedList]
}

// cachedList is the instance list last read, with its entity tag.
type cachedList struct {
	etag      string
	instances []infra.Instance
}

// New returns a Client of the platform at baseURL, an HTTP URL without a path.
// If transport is nil the Client uses a new one.
func New(baseURL string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = newTransport()
	}
	c := &Client{httpClient: &http.Client{Transport: transport}}
	c.SetBaseURL(baseURL)
	return c
}

// SetBaseURL makes further calls go to the platform at baseURL, an HTTP URL without a
// path. Calls that have begun are not affected.
func (c *Client) SetBaseURL(baseURL string) { c.baseURL.Store(&baseURL) }

// newTransport returns a transport that keeps up to 16 idle connections to the
// platform, so that concurrent calls reuse them.
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

// List implements infra.Instances. The list is large and changes rarely, so it
// is requested with the entity tag of the cached one: the platform doesn't send
// an unchanged list again. The returned slice is shared by all calls and must not
// be modified.
func (c *Client) List(ctx context.Context) ([]infra.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, *c.baseURL.Load()+PathInstances, nil)
	if err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	cached := c.list.Load()
	if cached != nil {
		req.Header.Set("If-None-Match", cached.etag)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && cached != nil {
		return cached.instances, nil
	}
	var out InstanceList
	if err := decode(resp, &out); err != nil {
		return nil, infra.Unavailable.Wrap(err, "list instances")
	}
	if etag := resp.Header.Get("ETag"); etag != "" {
		c.list.Store(&cachedList{etag: etag, instances: out.Instances})
	}
	return out.Instances, nil
}

// LoadsPerMinute implements infra.Weights.
func (c *Client) LoadsPerMinute(ctx context.Context) (int, error) {
	var out WeightsResponse
	err := c.call(ctx, http.MethodGet, PathWeights, nil, nil, 0, &out)
	return out.LoadsPerMinute, err
}

// call sends one request and decodes the response into out. It fails with
// infra.ExpiredError on status 410, and with infra.Unavailable on any other
// error.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout+wait)
	defer cancel()
	requestURL := *c.baseURL.Load() + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return infra.Unavailable.Wrap(err, "%s %s", method, path)
	}
	resp, err := c.httpClient.Do(req)
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

// decode decodes the JSON body of a response into out. It fails unless the status
// is 200.
func decode(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		return infra.Unavailable.New("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}

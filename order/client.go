package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// noState is the type of errors of an engine that did not return its state.
var noState = Errors.NewType("no_state")

// maxStateBytes bounds the JSON encoding of an engine's state, in bytes.
const maxStateBytes = 64 << 10

// Client implements Engine over HTTP, by GET /state and POST /orders.
type Client struct {
	BaseURL   string // URL of the engine, with an IP address
	Transport http.RoundTripper
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	resp, err := c.call(ctx, http.MethodGet, "/state", nil)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, noState.New("engine responded to GET /state with status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s)
}

// Order implements Engine. It returns nil after a response with any status but 409, as
// the next read of the engine's state shows whether it has accepted the order.
func (c *Client) Order(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := c.call(ctx, http.MethodPost, "/orders", b)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return Refused.New("engine refused order with fencing token %d: it has accepted a later one", o.Fence)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from sending the request a second time
	req.Header.Set("Content-Type", "application/json")
	return c.Transport.RoundTrip(req)
}

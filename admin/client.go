package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"dandelionrelay/api"
	"dandelionrelay/explain"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("admin")

// Unreachable is the type of errors of calls without a valid response from an
// entry. A requested change may have been made.
var Unreachable = Errors.NewType("unreachable", errorx.Temporary())

// callTimeout is the maximum duration of a call. It exceeds the entry's own
// timeout, so that the entry can still respond that the outcome is not known.
const callTimeout = verdictTimeout + 5*time.Second

// Client calls the administration interface of an entry. Its methods return an
// *api.Error if the entry refuses the request, or an error of type Unreachable.
type Client struct {
	URL        string // http://ip:port
	Token      string
	HTTPClient *http.Client // nil means http.DefaultClient
}

// Plan returns the changes that applying files would make.
func (c *Client) Plan(ctx context.Context, files map[string]string) (*PlanReply, error) {
	reply := new(PlanReply)
	return reply, c.call(ctx, http.MethodPost, PathPlan, PlanRequest{Files: files}, reply)
}

// Apply makes the files of req the desired state. The instances that receive the
// change log its ID as the request ID.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (*ApplyReply, error) {
	reply := new(ApplyReply)
	return reply, c.callWithID(ctx, req.ID, http.MethodPost, PathApply, req, reply)
}

// State returns the state in force.
func (c *Client) State(ctx context.Context) (*StateReply, error) {
	reply := new(StateReply)
	return reply, c.call(ctx, http.MethodGet, PathState, nil, reply)
}

// Audit returns the most recent changes, at most limit.
func (c *Client) Audit(ctx context.Context, limit int) (*AuditReply, error) {
	reply := new(AuditReply)
	return reply, c.call(ctx, http.MethodGet, fmt.Sprintf("%s?limit=%d", PathAudit, limit), nil, reply)
}

// Status returns the status of the entry and its configuration.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	reply := new(StatusReply)
	return reply, c.call(ctx, http.MethodGet, PathStatus, nil, reply)
}

// Explain returns the reply of an entry of package gateway, as it was sent, to the question
// where a request or job would go.
func (c *Client) Explain(ctx context.Context, q explain.Query) (json.RawMessage, error) {
	var reply json.RawMessage
	err := c.call(ctx, http.MethodGet, explain.Path+"?"+q.Values().Encode(), nil, &reply)
	return reply, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	return c.callWithID(ctx, uuid.NewString(), method, path, body, reply)
}

// callWithID makes a call with id as its request ID and decodes the response into
// reply. body is sent as JSON unless it is nil.
func (c *Client) callWithID(ctx context.Context, id, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.URL, "/")+path, content)
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderRequestID, id)
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Unreachable.Wrap(err, "no response from %s", c.URL)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Unreachable.Wrap(err, "response from %s is incomplete", c.URL)
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(b, reply)
	}
	// At its address for callers, an entry responds with CodeNoRoute.
	if apiErr := api.ReadError(resp.StatusCode, resp.Header, b); apiErr != nil && apiErr.Code != api.CodeNoRoute {
		return apiErr
	}
	return Unreachable.New("%s responded with status %d; is this the operations address (ops_addr) of an entry?", c.URL, resp.StatusCode)
}

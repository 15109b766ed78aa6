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
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("admin")

// Unreachable says that an entry did not answer: a change may have been made.
var Unreachable = Errors.NewType("unreachable", errorx.Temporary())

// callTimeout bounds one call.
const callTimeout = decideTimeout + 5*time.Second

// Client calls the administration interface of an entry. Its methods return
// an *api.Error if the entry refuses, or Unreachable.
type Client struct {
	URL        string // http://ip:port
	Token      string
	HTTPClient *http.Client // nil means a default one
}

// Plan returns what applying files would change.
func (c *Client) Plan(ctx context.Context, files map[string]string) (*PlanReply, error) {
	reply := new(PlanReply)
	return reply, c.call(ctx, http.MethodPost, PathPlan, PlanRequest{Files: files}, reply)
}

// Apply makes files the desired state. The id of the change is the request id
// in the logs of the instances that it comes to.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (*ApplyReply, error) {
	reply := new(ApplyReply)
	return reply, c.callAs(ctx, req.ID, http.MethodPost, PathApply, req, reply)
}

// State returns the state in force.
func (c *Client) State(ctx context.Context) (*StateReply, error) {
	reply := new(StateReply)
	return reply, c.call(ctx, http.MethodGet, PathState, nil, reply)
}

// Audit returns the last changes, up to limit.
func (c *Client) Audit(ctx context.Context, limit int) (*AuditReply, error) {
	reply := new(AuditReply)
	return reply, c.call(ctx, http.MethodGet, fmt.Sprintf("%s?limit=%d", PathAudit, limit), nil, reply)
}

// Status returns what the entry knows of the configuration.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	reply := new(StatusReply)
	return reply, c.call(ctx, http.MethodGet, PathStatus, nil, reply)
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	return c.callAs(ctx, uuid.NewString(), method, path, body, reply)
}

// callAs makes a call with a request id.
func (c *Client) callAs(ctx context.Context, id, method, path string, body, reply any) error {
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
		return Unreachable.Wrap(err, "no answer from %s", c.URL)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Unreachable.Wrap(err, "answer of %s cut", c.URL)
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(b, reply)
	}
	if refusal := api.ReadError(resp.StatusCode, resp.Header, b); refusal != nil && refusal.Code != api.CodeNoRoute {
		return refusal
	}
	return Unreachable.New("%s answered with status %d; is this the operations address of an entry?", c.URL, resp.StatusCode)
}

package sidecar_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/network"
)

const (
	endpointAddr = "10.0.0.1:80"
	sidecarAddr  = "10.0.0.2:80"
	deployment   = "assistant"
)

// fixture is a sidecar and its endpoint on an in-memory network.
type fixture struct {
	t          *testing.T
	net        *network.Network
	config     *config.Holder
	sidecar    *sidecar.Sidecar
	client     *http.Client
	invariants *invariant.Set
}

// newFixture starts a sidecar in front of endpoint. A violated invariant fails
// the test.
func newFixture(t *testing.T, endpoint http.Handler, d config.Deployment, options ...func(*sidecar.Settings, *sidecar.Deps)) *fixture {
	f := &fixture{t: t, net: network.New(), config: &config.Holder{}}
	f.invariants = invariant.New(func(v invariant.Violation) { t.Error(v) })
	f.deploy(d)
	f.serve(endpointAddr, endpoint)
	settings := sidecar.Settings{ID: "s1", Deployment: deployment, EndpointURL: "http://" + endpointAddr}
	deps := sidecar.Deps{Config: f.config, Invariants: f.invariants, Dial: f.net.DialContext}
	for _, o := range options {
		o(&settings, &deps)
	}
	s, err := sidecar.New(settings, deps)
	if err != nil {
		t.Fatal(err)
	}
	f.sidecar = s
	t.Cleanup(s.Close)
	f.serve(sidecarAddr, s)
	transport := &http.Transport{DialContext: f.net.DialContext}
	f.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	synctest.Wait()
	return f
}

// deploy applies d as the configuration of the deployment.
func (f *fixture) deploy(d config.Deployment) {
	version := f.config.Current().Version + 1
	f.config.Set(config.NewSnapshot(version, &config.State{
		Deployments: map[string]config.Deployment{deployment: d},
	}))
}

func (f *fixture) setSlots(n int) {
	d := f.config.Current().State.Deployments[deployment]
	d.Slots = n
	f.deploy(d)
}

// serve serves h on the in-memory network until the test ends.
func (f *fixture) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	l := f.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

// call describes one online request. An empty method or path means the default of
// do.
type call struct {
	id       string // request ID and attempt ID
	customer string
	method   string
	path     string
	body     any
	header   map[string]string
}

// do sends c as an entry would.
func (f *fixture) do(ctx context.Context, c call) (*http.Response, error) {
	b, _ := json.Marshal(c.body)
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/v1/chat/completions"
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+sidecarAddr+c.path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set(api.HeaderRequestID, c.id)
	req.Header.Set(api.HeaderAttemptID, c.id)
	req.Header.Set(api.HeaderCustomer, c.customer)
	req.Header.Set(api.HeaderDeployment, deployment)
	req.Header.Set(api.HeaderDeadline, "60000")
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	return f.client.Do(req)
}

// result is a response, which may be truncated.
type result struct {
	status    int
	header    http.Header
	body      string
	failure   *api.Error // nil if the response is not an error of the sidecar
	truncated bool       // the call failed or the response was truncated
}

// result sends c and reads the response.
func (f *fixture) result(ctx context.Context, c call) result {
	resp, err := f.do(ctx, c)
	if err != nil {
		return result{truncated: true}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{
		status:    resp.StatusCode,
		header:    resp.Header,
		body:      string(b),
		failure:   api.ReadError(resp.StatusCode, resp.Header, b),
		truncated: err != nil,
	}
}

func chat(prompt string, tokens int) api.ChatRequest {
	return api.ChatRequest{Model: "m", MaxTokens: tokens, Messages: []api.Message{{Role: "user", Content: prompt}}}
}

func streamed(r api.ChatRequest) api.ChatRequest {
	r.Stream = true
	return r
}

// text returns the text of a response, streamed or not.
func text(body string) string {
	var out strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data := strings.TrimPrefix(line, "data: ")
		var r api.ChatResponse
		if json.Unmarshal([]byte(data), &r) != nil || len(r.Choices) == 0 {
			continue
		}
		if r.Choices[0].Delta != nil {
			out.WriteString(r.Choices[0].Delta.Content)
		}
		if r.Choices[0].Message != nil {
			out.WriteString(r.Choices[0].Message.Content)
		}
	}
	return out.String()
}

func modelDeployment(slots int) config.Deployment {
	return config.Deployment{Kind: config.KindModel, Model: "m", Slots: slots, CanResume: true}
}

func newEngine(t *testing.T, o engine.Options) *engine.Engine {
	o.Model = "m"
	e := engine.New(o)
	t.Cleanup(e.Close)
	return e
}

// eventually waits until ok returns true, for up to 10 s of fake time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 10_000 {
		synctest.Wait()
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

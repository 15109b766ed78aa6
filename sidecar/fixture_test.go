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

// rig is one sidecar beside one endpoint on a network in memory.
type fixture struct {
	t       *testing.T
	net     *network.Network
	config  *config.Holder
	sidecar *sidecar.Sidecar
	client  *http.Client
	checks  *invariant.Set
}

func newFixture(t *testing.T, endpoint http.Handler, d config.Deployment, options ...func(*sidecar.Settings, *sidecar.Deps)) *fixture {
	r := &fixture{t: t, net: network.New(), config: &config.Holder{}}
	r.checks = invariant.New(func(v invariant.Violation) { t.Error(v) })
	r.deploy(d)
	r.serve(endpointAddr, endpoint)
	settings := sidecar.Settings{ID: "s1", Deployment: deployment, EndpointURL: "http://" + endpointAddr}
	deps := sidecar.Deps{Config: r.config, Invariants: r.checks, Dial: r.net.DialContext}
	for _, o := range options {
		o(&settings, &deps)
	}
	s, err := sidecar.New(settings, deps)
	if err != nil {
		t.Fatal(err)
	}
	r.sidecar = s
	t.Cleanup(s.Close)
	r.serve(sidecarAddr, s)
	transport := &http.Transport{DialContext: r.net.DialContext}
	r.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	synctest.Wait()
	return r
}

// deploy puts a configuration of the deployment in force.
func (r *fixture) deploy(d config.Deployment) {
	version := r.config.Current().Version + 1
	r.config.Set(config.NewSnapshot(version, &config.State{
		Deployments: map[string]config.Deployment{deployment: d},
	}))
}

func (r *fixture) setSlots(n int) {
	d := r.config.Current().State.Deployments[deployment]
	d.Slots = n
	r.deploy(d)
}

func (r *fixture) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	l := r.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
	r.t.Cleanup(func() { _ = server.Close() })
}

// call describes one online request; zero fields mean the defaults of do.
type call struct {
	id       string // request id and attempt id
	customer string
	method   string
	path     string
	body     any
	header   map[string]string
}

// do sends c as an entry would.
func (r *fixture) do(ctx context.Context, c call) (*http.Response, error) {
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
	return r.client.Do(req)
}

// result is a whole answer, or what is known of a cut one.
type result struct {
	status  int
	header  http.Header
	body    string
	failure *api.Error // nil if the endpoint answered
	cut     bool       // the answer ended early
}

func (r *fixture) result(ctx context.Context, c call) result {
	resp, err := r.do(ctx, c)
	if err != nil {
		return result{cut: true}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    string(b),
		failure: api.ReadError(resp.StatusCode, resp.Header, b),
		cut:     err != nil,
	}
}

func chat(prompt string, tokens int) api.ChatRequest {
	return api.ChatRequest{Model: "m", MaxTokens: tokens, Messages: []api.Message{{Role: "user", Content: prompt}}}
}

func streamed(r api.ChatRequest) api.ChatRequest {
	r.Stream = true
	return r
}

// text returns the text of an answer, whole or streamed.
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

// eventually waits in fake time until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 10_000 {
		synctest.Wait()
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/network"
)

const addr = "10.0.0.1:80"

// serve serves e on a network in memory and returns a client for it.
func serve(t *testing.T, e *engine.Engine) *http.Client {
	n := network.New()
	server := &http.Server{Handler: e, ErrorLog: nil}
	go func() { _ = server.Serve(n.Listen(addr)) }()
	transport := &http.Transport{DialContext: n.DialContext}
	t.Cleanup(func() {
		e.Close()
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	synctest.Wait()
	return &http.Client{Transport: transport}
}

func post(t *testing.T, c *http.Client, r api.ChatRequest) (*http.Response, error) {
	b, _ := json.Marshal(r)
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(b))
	return c.Do(req)
}

func chat(prompt string, tokens int) api.ChatRequest {
	return api.ChatRequest{Model: "m", MaxTokens: tokens, Messages: []api.Message{{Role: "user", Content: prompt}}}
}

// complete sends r and returns its complete response.
func complete(t *testing.T, c *http.Client, r api.ChatRequest) api.ChatResponse {
	resp, err := post(t, c, r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out api.ChatResponse
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestEngine_ResponseDependsOnRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := serve(t, engine.New(engine.Options{Model: "m"}))
		r := chat("hello", 12)
		want := engine.ResponseText(&r, 12)
		g.Expect(complete(t, c, r).Choices[0].Message.Content).To(gomega.Equal(want))

		r.Stream = true
		resp, err := post(t, c, r)
		g.Expect(err).ToNot(gomega.HaveOccurred())
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		g.Expect(strings.Count(string(b), "data: ")).To(gomega.Equal(12 + 2))
		g.Expect(string(b)).To(gomega.HaveSuffix("data: [DONE]\n\n"))

		r.Stream = false
		r.Resume = &api.Resume{Text: want[:5*engine.TokenBytes], Tokens: 5}
		g.Expect(complete(t, c, r).Choices[0].Message.Content).To(gomega.Equal(want))
		g.Expect(complete(t, c, chat("other", 12)).Choices[0].Message.Content).ToNot(gomega.Equal(want))
	})
}

func TestEngine_PrefixCacheIsSeparateForEachSalt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := serve(t, engine.New(engine.Options{Model: "m"}))
		r := chat(strings.Repeat("seed swap ledger ", 100), 4)
		r.CacheSalt = "a"
		g.Expect(complete(t, c, r).Usage.CachedTokens).To(gomega.BeZero())
		g.Expect(complete(t, c, r).Usage.CachedTokens).To(gomega.BeNumerically(">", 400))
		r.CacheSalt = "b"
		g.Expect(complete(t, c, r).Usage.CachedTokens).To(gomega.BeZero())
	})
}

func TestEngine_ClosedConnectionCancelsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := engine.New(engine.Options{Model: "m"})
		c := serve(t, e)
		r := chat("hello", 1000)
		r.Stream = true
		resp, err := post(t, c, r)
		g.Expect(err).ToNot(gomega.HaveOccurred())
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		g.Expect(err).ToNot(gomega.HaveOccurred())
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
		g.Expect(e.InFlight()).To(gomega.BeZero())
		g.Expect(e.Stats().CancelledRuns).To(gomega.Equal(uint64(1)))
	})
}

func TestEngine_CrashAbortsAllRunsUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := engine.New(engine.Options{Model: "m", CrashMarker: "poison"})
		c := serve(t, e)
		healthy := make(chan error)
		go func() {
			_, err := post(t, c, chat("hello", 1000))
			healthy <- err
		}()
		time.Sleep(time.Second)
		_, err := post(t, c, chat("poison", 10))
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(<-healthy).To(gomega.HaveOccurred())
		_, err = post(t, c, chat("hello", 1))
		g.Expect(err).To(gomega.HaveOccurred())
		e.Restart()
		g.Expect(complete(t, c, chat("hello", 1)).Choices).To(gomega.HaveLen(1))
	})
}

func TestEngine_RejectsStaleFencingTokenOnlyIfObeyed(t *testing.T) {
	for _, obeys := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := engine.New(engine.Options{Model: "m", ObeysFencing: obeys, LoadTime: time.Second})
			c := serve(t, e)
			order := func(fence uint64, version string) int {
				b, _ := json.Marshal(engine.Order{Fence: fence, Kind: "load", Model: "m", Version: version})
				resp, err := c.Post("http://"+addr+"/orders", "application/json", bytes.NewReader(b))
				g.Expect(err).ToNot(gomega.HaveOccurred())
				defer resp.Body.Close()
				return resp.StatusCode
			}
			g.Expect(order(2, "new")).To(gomega.Equal(http.StatusAccepted))
			time.Sleep(2 * time.Second)
			g.Expect(e.State().Version).To(gomega.Equal("new"))
			status := order(1, "old")
			time.Sleep(2 * time.Second)
			if obeys {
				g.Expect(status).To(gomega.Equal(http.StatusConflict))
				g.Expect(e.State().Version).To(gomega.Equal("new"))
				return
			}
			g.Expect(status).To(gomega.Equal(http.StatusAccepted))
			g.Expect(e.State().Version).To(gomega.Equal("old"))
		})
	}
}

// TestEngine_RespondsToResumeAfterLastToken guards against a data race: a run that is
// resumed with all of its tokens gets its response while the step loop may still admit it.
// The fault shows under the race detector.
func TestEngine_RespondsToResumeAfterLastToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := serve(t, engine.New(engine.Options{Model: "m"}))
		for n := range 50 {
			r := chat(fmt.Sprint("beans ", n), 5)
			r.Resume = &api.Resume{Text: engine.ResponseText(&r, 5), Tokens: 5}
			if got := complete(t, c, r); got.Usage == nil || got.Usage.CompletionTokens != 5 {
				t.Errorf("resume %d: got response %+v, want 5 completion tokens", n, got)
			}
		}
	})
}

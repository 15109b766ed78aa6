package processes

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/standin/crowd"
)

// What the machines of the tests with crowds grant each process. The processes must stay
// within it whatever callers send.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 600
)

// crowdSystem is a system of which one process meets a crowd.
type crowdSystem struct {
	*system
	process  string // its name
	ordinary func(id string) (*http.Request, error)
	requests int // ordinary requests sent
}

// startCrowdSystem starts a whole system on machines with the limits above. The named process
// is to meet a crowd, and ordinary returns a request that it answers with 200.
func startCrowdSystem(t *testing.T, process string, ordinary func(s *system, id string) (*http.Request, error)) *crowdSystem {
	s := newSystem(t)
	for _, name := range []string{"entry-1", "entry-2", "sidecar-1", "sidecar-2", "sidecar-3"} {
		path := filepath.Join(s.dir, name+".json")
		text, err := os.ReadFile(path)
		s.Expect(err).NotTo(HaveOccurred())
		limits := fmt.Sprintf("{\n  \"memory_mb\": %d,\n  \"max_descriptors\": %d,", crowdMemoryMB, crowdMaxDescriptors)
		s.Expect(os.WriteFile(path, bytes.Replace(text, []byte("{"), []byte(limits), 1), 0o600)).To(Succeed())
	}
	s.startAll()
	c := &crowdSystem{system: s, process: process}
	c.ordinary = func(id string) (*http.Request, error) { return ordinary(s, id) }
	c.answersOrdinaryRequest()
	return c
}

// answersOrdinaryRequest checks that a small request is answered. Refusals tell its caller to
// come back, which it does.
func (c *crowdSystem) answersOrdinaryRequest() {
	c.t.Helper()
	c.Eventually(c.sendOrdinaryRequest, waitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// sendOrdinaryRequest sends a small request on a new connection and returns the status of the
// response.
func (c *crowdSystem) sendOrdinaryRequest() (int, error) {
	c.requests++
	r, err := c.ordinary(fmt.Sprintf("ordinary-%d", c.requests))
	if err != nil {
		return 0, err
	}
	r.Close = true
	response, err := (&http.Client{Timeout: waitTimeout}).Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// survives sends a crowd of the form to a port, and checks that the process lives and stays
// within what its machine grants it, and that an ordinary request is answered while the crowd
// stays connected.
func (c *crowdSystem) survives(port int, form crowd.Form) {
	c.t.Helper()
	pid := c.running[c.process].Process.Pid
	watcher := crowd.Watch(pid)
	clients := crowd.Open(c.addr(port), form.Conns, form, func(n int) string { return fmt.Sprintf("crowd-%06d", n) })
	clients.AwaitSent()
	form.Settle()
	c.Expect(crowd.AwaitAccepted(c.addr(port))).To(Succeed())
	c.answersOrdinaryRequest()
	peak, err := watcher.Peak()
	clients.Close()
	c.Expect(err).NotTo(HaveOccurred(), "the process has ended")
	c.t.Logf("%s: peak of %d MB and %d descriptors", form.Name, peak.Memory/1e6, peak.Descriptors)
	c.Expect(peak.Memory).To(BeNumerically("<=", crowdMemoryMB*1_000_000), "memory of the machine")
	c.Expect(peak.Descriptors).To(BeNumerically("<=", crowdMaxDescriptors), "descriptors of the machine")
}

// chatRequest returns an ordinary request to entry-1.
func chatRequest(s *system, _ string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, s.url(7201, "/v1/chat/completions"), strings.NewReader(chat))
	if err == nil {
		r.Header.Set("Authorization", "Bearer "+gardenKey)
	}
	return r, err
}

// attemptRequest returns an ordinary request to sidecar-1, as an entry sends it.
func attemptRequest(s *system, id string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, s.url(7111, "/v1/chat/completions"), strings.NewReader(chat))
	if err == nil {
		r.Header.Set(api.HeaderAttemptID, id)
		r.Header.Set(api.HeaderCustomer, "garden")
	}
	return r, err
}

// crowdTarget returns where the requests of a crowd go: a path of an entry or a sidecar.
func crowdTarget(path string) crowd.Target {
	return crowd.Target{Path: path, Host: "h.example", Fields: func(id string) string {
		return fmt.Sprintf("Authorization: Bearer %s\r\n%s: %s\r\n", gardenKey, api.HeaderAttemptID, id)
	}}
}

// skipBesideOthers skips a test with a crowd where other tests run beside it.
func skipBesideOthers(t *testing.T) {
	if raceDetector {
		t.Skip("runs alone, see .ci/test")
	}
}

// Guards against callers whose requests, each of legal size or without an end, together take
// more memory or descriptors than the machine of an entry or of a sidecar has.
func TestCrowd_Callers(t *testing.T) {
	skipBesideOthers(t)
	forms := crowd.Forms(crowdTarget("/v1/chat/completions"))
	forms = append(forms, crowd.UnreadForm(crowdTarget("/none")), crowd.JSONForm("chat of many empty messages", crowdTarget("/v1/chat/completions"),
		[2]string{`{"model":"assistant-small","messages":[`, `]}`}, func(int) string { return "{}" }))
	for _, f := range crowd.Forms(crowdTarget("/v1/batches")) {
		if strings.HasPrefix(f.Name, "large body") {
			f.Name += " of a job"
			forms = append(forms, f)
		}
	}
	for _, form := range forms {
		t.Run("entry/"+form.Name, func(t *testing.T) {
			startCrowdSystem(t, "entry-1", chatRequest).survives(7201, form)
		})
	}
	for _, form := range crowd.Forms(crowdTarget("/v1/chat/completions")) {
		t.Run("sidecar/"+form.Name, func(t *testing.T) {
			startCrowdSystem(t, "sidecar-1", attemptRequest).survives(7111, form)
		})
	}
}

// Guards against the same at the listeners for peers and operators.
func TestCrowd_OtherListeners(t *testing.T) {
	skipBesideOthers(t)
	forms := append(crowd.Forms(crowdTarget("/metrics")), crowd.PeerForms()...)
	for _, l := range []struct {
		name, process string
		port          int
		ordinary      func(*system, string) (*http.Request, error)
	}{
		{"entry, peers", "entry-1", 7202, chatRequest},
		{"entry, operators", "entry-1", 7203, chatRequest},
		{"sidecar, operators", "sidecar-1", 7113, attemptRequest},
	} {
		t.Run(l.name, func(t *testing.T) {
			c := startCrowdSystem(t, l.process, l.ordinary)
			for _, form := range forms {
				c.survives(l.port, form)
			}
		})
	}
}

// Guards against limits that a single caller meets who stays within those of the settings.
func TestCrowd_ServesOneCallerAtEachLimit(t *testing.T) {
	skipBesideOthers(t)
	const headTime = 2700 * time.Millisecond
	c := startCrowdSystem(t, "entry-1", chatRequest)
	for name, request := range crowd.AtLimits(crowdTarget("/pickups/1"), headTime) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			conn, err := net.Dial("tcp", c.addr(7201))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close() //nolint:errcheck // the response was read, or the test has failed
			g.Expect(request(conn)).To(Equal(http.StatusOK))
		})
	}
}

// Package processes tests the roles as separate processes on loopback.
package processes

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/infra"
)

const gardenKey = "garden-demo-key"

const chat = `{"model":"assistant-small","max_tokens":12,"messages":[{"role":"user","content":"Who has bean seed?"}]}`

var streamedChat = strings.Replace(chat, "{", `{"stream":true,`, 1)

// TestProcesses_ServeOnlineAndBatchRequests sends each kind of request to the local
// example and checks that the results of a job survive the loss of all entries.
func TestProcesses_ServeOnlineAndBatchRequests(t *testing.T) {
	s := newSystem(t)
	s.startAll()

	status, completion := s.send("POST", 7201, "/v1/chat/completions", gardenKey, chat)
	s.Expect(status).To(Equal(http.StatusOK), completion)
	s.Expect(completion).To(ContainSubstring(`"finish_reason":"`))
	status, text := s.send("POST", 7211, "/v1/chat/completions", gardenKey, streamedChat)
	s.Expect(status).To(Equal(http.StatusOK), text)
	s.Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	status, text = s.send("POST", 7201, "/pickups/7", gardenKey, "confirm")
	s.Expect(status).To(Equal(http.StatusOK), text)
	status, text = s.send("POST", 7201, "/v1/chat/completions", "wrong", chat)
	s.Expect(status).To(Equal(http.StatusUnauthorized), text)
	s.Expect(text).To(ContainSubstring(`"outcome":"not_run"`))

	prompts, err := os.ReadFile("../../examples/local/prompts.jsonl")
	s.Expect(err).NotTo(HaveOccurred())
	job := s.submit(7201, string(prompts))
	results := s.results(7211, job)
	s.Expect(strings.Count(results, `"custom_id"`)).To(Equal(3))

	s.Expect(s.command("jobs", "--server", s.url(7213, ""))).To(ContainSubstring(job))

	// Both entries are killed; one is started again, and the platform no longer
	// lists the other.
	s.kill("entry-1")
	s.kill("entry-2")
	s.start("entry-1", "entry", "--settings", "entry-1.json")
	s.awaitOK(s.url(7203, "/readyz"))
	s.updateInstances(func(all []infra.Instance) []infra.Instance {
		var rest []infra.Instance
		for _, i := range all {
			if i.ID != "entry-2" {
				rest = append(rest, i)
			}
		}
		return rest
	})
	s.Expect(s.results(7201, job)).To(Equal(results))
}

// submit submits a batch job until it is accepted and returns its ID.
func (s *system) submit(port int, lines string) string {
	s.t.Helper()
	var text string
	s.Eventually(func() int {
		var status int
		status, text = s.send("POST", port, "/v1/batches", gardenKey, lines)
		return status
	}, waitTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK), text)
	var job struct{ ID string }
	s.Expect(json.Unmarshal([]byte(text), &job)).To(Succeed())
	return job.ID
}

// results waits until a job is completed and returns its results.
func (s *system) results(port int, job string) string {
	s.t.Helper()
	s.Eventually(func() string {
		_, text := s.send("GET", port, "/v1/batches/"+job, gardenKey, "")
		return text
	}, waitTimeout, 100*time.Millisecond).Should(ContainSubstring(`"status":"completed"`))
	status, text := s.send("GET", port, "/v1/batches/"+job+"/results", gardenKey, "")
	s.Expect(status).To(Equal(http.StatusOK), text)
	return text
}

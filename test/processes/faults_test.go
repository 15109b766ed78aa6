package processes

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/infra"
	standin "dandelionrelay/standin/platform"
)

// TestShutdown_CompletesStreamsInFlight stops an entry and a sidecar that the
// platform lists as leaving, and checks that no stream in flight is aborted.
func TestShutdown_CompletesStreamsInFlight(t *testing.T) {
	s := newSystem(t)
	s.startAll()
	longChat := strings.Replace(streamedChat, `"max_tokens":12`, `"max_tokens":300`, 1)
	const streams = 12
	results := make(chan string, streams)
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			status, text := s.send("POST", []int{7201, 7211}[n%2], "/v1/chat/completions", gardenKey, longChat)
			if status != http.StatusOK {
				text = "refused: " + text
			}
			results <- text
		})
	}
	time.Sleep(time.Second) // the streams are in flight
	s.updateInstances(func(all []infra.Instance) []infra.Instance {
		for n := range all {
			if all[n].ID == "entry-1" || all[n].ID == "sidecar-1" {
				all[n].State = infra.Leaving
			}
		}
		return all
	})
	s.Expect(s.terminate("entry-1")).To(BeTrue())
	s.Expect(s.terminate("sidecar-1")).To(BeTrue())
	wg.Wait()
	close(results)
	for text := range results {
		s.Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	}
	status, text := s.send("POST", 7211, "/v1/chat/completions", gardenKey, chat)
	s.Expect(status).To(Equal(http.StatusOK), text)
}

// TestRateLimit_HoldsAfterPausedEntryResumes pauses an entry that counts requests
// against the limits, has the platform remove it from its list, so that another
// takes over, and resumes it while the log is down. The requests admitted by both
// must stay within the customer's rate and burst.
func TestRateLimit_HoldsAfterPausedEntryResumes(t *testing.T) {
	const rate, burst = 20, 40 // of the local example's customers
	s := newSystem(t)
	s.startAll()
	start := time.Now()
	admitted := 0
	sendChats := func(port int, times int) {
		for range times {
			status, _ := s.send("POST", port, "/v1/chat/completions", "station-demo-key", chat)
			if status == http.StatusOK {
				admitted++
			}
		}
	}
	sendChats(7201, 30)
	resume := s.pause("entry-1")
	s.updateInstances(func(all []infra.Instance) []infra.Instance {
		var rest []infra.Instance
		for _, i := range all {
			if i.ID != "entry-1" {
				rest = append(rest, i)
			}
		}
		return rest
	})
	for time.Since(start) < 8*time.Second {
		sendChats(7211, 10)
	}
	s.setFaults(standin.FaultSettings{Down: true})
	resume()
	for range 20 {
		sendChats(7201, 5)
		sendChats(7211, 5)
	}
	elapsed := time.Since(start).Seconds()
	s.Expect(float64(admitted)).To(BeNumerically("<=", rate*elapsed+burst))
}

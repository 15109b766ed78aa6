package jobs_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// jobDocument is the part of the JSON document of a job that the tests read.
type jobDocument struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

func parseJob(t *testing.T, body string) jobDocument {
	var d jobDocument
	if err := json.Unmarshal([]byte(body), &d); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	return d
}

// awaitJob polls a job until it has ended.
func (f *testFleet) awaitJob(id string, limit time.Duration) jobDocument {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		code, body := f.call("GET", "/v1/batches/"+id, "", "", "")
		if code != http.StatusOK {
			continue
		}
		if d := parseJob(f.t, body); d.Status != "in_progress" {
			return d
		}
	}
	f.t.Fatalf("job %s did not end in %s", id, limit)
	return jobDocument{}
}

func TestService_RunsSubmittedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		for _, id := range []string{"e1", "e2", "e3"} {
			f.startEntry(id)
		}
		f.startSidecar("s1", 1, nil)
		f.startSidecar("s2", 2, nil)

		code, body := f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 30))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parseJob(t, body).ID
		code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 30))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		g.Expect(parseJob(t, body).ID).To(gomega.Equal(id), "a resend returns the same job")

		d := f.awaitJob(id, time.Minute)
		g.Expect(d.Status).To(gomega.Equal("completed"))
		g.Expect(d.Counts.Completed).To(gomega.Equal(30))
		code, results := f.call("GET", "/v1/batches/"+id+"/results", "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), results)
		g.Expect(strings.Count(results, "\n")).To(gomega.Equal(30))
		g.Expect(results).To(gomega.ContainSubstring(`"custom_id":"x-29"`))

		code, body = f.call("GET", "/v1/batches", "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		g.Expect(body).To(gomega.ContainSubstring(id))

		code, body = f.call("POST", "/v1/files", "application/octet-stream", "", batchFile("y", 5))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		file := parseJob(t, body).ID
		code, body = f.call("POST", "/v1/batches", "application/json", "",
			`{"input_file_id":"`+file+`","endpoint":"/v1/chat/completions","completion_window":"24h"}`)
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		d = f.awaitJob(parseJob(t, body).ID, time.Minute)
		g.Expect(d.Counts.Completed).To(gomega.Equal(5))
	})
}

func TestAccept_RejectsFileWithFindings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		f.startEntry("e1")
		time.Sleep(time.Second)
		file := batchFile("x", 2) +
			`{"custom_id":"x-0","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}` + "\n" +
			`{"custom_id":"p","method":"POST","url":"/v1/chat/completions","body":{"model":"secret"}}` + "\n" +
			`{"custom_id":"q","method":"GET","url":"/nowhere","body":{}}` + "\n" +
			`{"custom_id":` + "\n"
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "", file)
		g.Expect(code).To(gomega.Equal(http.StatusBadRequest), body)
		var response struct {
			Error struct {
				Outcome  string
				Findings []struct {
					Line    int
					Pointer string
				}
			}
		}
		g.Expect(json.Unmarshal([]byte(body), &response)).To(gomega.Succeed())
		g.Expect(response.Error.Outcome).To(gomega.Equal("not_run"))
		var positions []string
		for _, finding := range response.Error.Findings {
			positions = append(positions, string(rune('0'+finding.Line))+finding.Pointer)
		}
		g.Expect(positions).To(gomega.Equal([]string{"3/custom_id", "4/url", "5/method", "5/url", "6"}))
		g.Expect(f.log.Appends()).To(gomega.BeZero(), "no record is stored")
	})
}

func TestJob_SurvivesLossOfEntriesAndSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		f.startEntry("e1")
		f.startEntry("e2")
		f.startSidecar("s1", 1, nil)
		f.startSidecar("s2", 2, nil)
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "", batchFile("x", 60))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parseJob(t, body).ID
		time.Sleep(4 * time.Second)
		f.killSidecar("s1")
		f.startEntry("e3")
		f.killEntry("e1", 2*time.Second)
		time.Sleep(time.Second)
		f.killEntry("e2", 2*time.Second)
		d := f.awaitJob(id, 5*time.Minute)
		g.Expect(d.Counts.Completed).To(gomega.Equal(60))
	})
}

func TestJob_StaysDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 2*time.Minute, 1)
		defer f.close()
		f.startEntry("e1")
		f.startEntry("e2")
		time.Sleep(time.Second)
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 3))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parseJob(t, body).ID
		code, body = f.call("DELETE", "/v1/batches/"+id, "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		f.startSidecar("s1", 1, nil)
		for range 3 {
			code, _ = f.call("GET", "/v1/batches/"+id, "", "", "")
			g.Expect(code).To(gomega.Equal(http.StatusNotFound))
			code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 3))
			g.Expect(code).To(gomega.Equal(http.StatusConflict), body)
			time.Sleep(3 * time.Minute) // longer than the retention of the log
			f.startEntry(time.Now().String())
			f.killEntry(f.Entries()[0].ID, 0)
			time.Sleep(3 * time.Second)
		}
		_, ran := f.runs.Load("x-0")
		g.Expect(ran).To(gomega.BeFalse())
	})
}

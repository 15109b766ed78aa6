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

// document is the part of a job that tests read.
type document struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

func parse(t *testing.T, body string) document {
	var d document
	if err := json.Unmarshal([]byte(body), &d); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	return d
}

// await polls a job until it has ended.
func (f *fleet) await(id string, limit time.Duration) document {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		code, body := f.call("GET", "/v1/batches/"+id, "", "", "")
		if code != http.StatusOK {
			continue
		}
		if d := parse(f.t, body); d.Status != "in_progress" {
			return d
		}
	}
	f.t.Fatalf("job %s did not end in %s", id, limit)
	return document{}
}

func TestJobIsAcceptedRunAndRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		for _, id := range []string{"e1", "e2", "e3"} {
			f.start(id)
		}
		f.startSidecar("s1", 1, nil)
		f.startSidecar("s2", 2, nil)

		code, body := f.call("POST", "/v1/batches", "application/jsonl", "k", lines("x", 30))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parse(t, body).ID
		code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", lines("x", 30))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		g.Expect(parse(t, body).ID).To(gomega.Equal(id), "a resend gives the same job")

		d := f.await(id, time.Minute)
		g.Expect(d.Status).To(gomega.Equal("completed"))
		g.Expect(d.Counts.Completed).To(gomega.Equal(30))
		code, results := f.call("GET", "/v1/batches/"+id+"/results", "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), results)
		g.Expect(strings.Count(results, "\n")).To(gomega.Equal(30))
		g.Expect(results).To(gomega.ContainSubstring(`"custom_id":"x-29"`))

		code, body = f.call("GET", "/v1/batches", "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		g.Expect(body).To(gomega.ContainSubstring(id))

		code, body = f.call("POST", "/v1/files", "application/octet-stream", "", lines("y", 5))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		file := parse(t, body).ID
		code, body = f.call("POST", "/v1/batches", "application/json", "",
			`{"input_file_id":"`+file+`","endpoint":"/v1/chat/completions","completion_window":"24h"}`)
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		d = f.await(parse(t, body).ID, time.Minute)
		g.Expect(d.Counts.Completed).To(gomega.Equal(5))
	})
}

func TestFaultyFileIsRefusedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		f.start("e1")
		time.Sleep(time.Second)
		file := lines("x", 2) +
			`{"custom_id":"x-0","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}` + "\n" +
			`{"custom_id":"p","method":"POST","url":"/v1/chat/completions","body":{"model":"secret"}}` + "\n" +
			`{"custom_id":"q","method":"GET","url":"/nowhere","body":{}}` + "\n" +
			`{"custom_id":` + "\n"
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "", file)
		g.Expect(code).To(gomega.Equal(http.StatusBadRequest), body)
		var answer struct {
			Error struct {
				Outcome  string
				Findings []struct {
					Line    int
					Pointer string
				}
			}
		}
		g.Expect(json.Unmarshal([]byte(body), &answer)).To(gomega.Succeed())
		g.Expect(answer.Error.Outcome).To(gomega.Equal("not_run"))
		var places []string
		for _, p := range answer.Error.Findings {
			places = append(places, string(rune('0'+p.Line))+p.Pointer)
		}
		g.Expect(places).To(gomega.Equal([]string{"3/custom_id", "4/url", "5/method", "5/url", "6"}))
		g.Expect(f.log.Appends()).To(gomega.BeZero(), "nothing of it is stored")
	})
}

func TestJobSurvivesEveryEntryAndASidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		f.start("e1")
		f.start("e2")
		f.startSidecar("s1", 1, nil)
		f.startSidecar("s2", 2, nil)
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "", lines("x", 60))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parse(t, body).ID
		time.Sleep(4 * time.Second)
		f.killSidecar("s1")
		f.start("e3")
		f.kill("e1", 2*time.Second)
		time.Sleep(time.Second)
		f.kill("e2", 2*time.Second)
		d := f.await(id, 5*time.Minute)
		g.Expect(d.Counts.Completed).To(gomega.Equal(60))
	})
}

func TestDeletedJobStaysDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 2*time.Minute, 1)
		defer f.close()
		f.start("e1")
		f.start("e2")
		time.Sleep(time.Second)
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "k", lines("x", 3))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		id := parse(t, body).ID
		code, body = f.call("DELETE", "/v1/batches/"+id, "", "", "")
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
		f.startSidecar("s1", 1, nil)
		for range 3 {
			code, _ = f.call("GET", "/v1/batches/"+id, "", "", "")
			g.Expect(code).To(gomega.Equal(http.StatusNotFound))
			code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", lines("x", 3))
			g.Expect(code).To(gomega.Equal(http.StatusConflict), body)
			time.Sleep(3 * time.Minute) // longer than the log keeps a record
			f.start(time.Now().String())
			f.kill(f.Entries()[0].ID, 0)
			time.Sleep(3 * time.Second)
		}
		_, ran := f.runs.Load("x-0")
		g.Expect(ran).To(gomega.BeFalse())
	})
}

package jobs

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// jobDocument is the JSON document of a job.
type jobDocument struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint,omitempty"`
	InputFileID      string            `json:"input_file_id"`
	OutputFileID     string            `json:"output_file_id"`
	CompletionWindow string            `json:"completion_window,omitempty"`
	Status           Status            `json:"status"`
	CreatedAt        int64             `json:"created_at"` // Unix seconds, as all times here
	DueAt            int64             `json:"due_at"`
	ExpiresAt        int64             `json:"expires_at"` // results are kept until then
	EndedAt          int64             `json:"ended_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newJobDocument(v View) jobDocument {
	d := jobDocument{
		ID:               v.ID,
		Object:           "batch",
		Endpoint:         v.Endpoint,
		InputFileID:      v.File,
		OutputFileID:     outputPrefix + v.ID,
		CompletionWindow: v.Window,
		Status:           v.Status,
		CreatedAt:        v.Created.Unix(),
		DueAt:            v.Due.Unix(),
		ExpiresAt:        v.Kept.Unix(),
		RequestCounts:    requestCounts{v.Total, v.Completed, v.Failed},
		Metadata:         v.Metadata,
	}
	if !v.Ended.IsZero() {
		d.EndedAt = v.Ended.Unix()
	}
	return d
}

// listDocument is the JSON document of all jobs of a customer.
type listDocument struct {
	Object string        `json:"object"`
	Data   []jobDocument `json:"data"`
}

func newListDocument(views []View) listDocument {
	d := listDocument{Object: "list", Data: make([]jobDocument, 0, len(views))}
	for _, v := range views {
		d.Data = append(d.Data, newJobDocument(v))
	}
	return d
}

// fileDocument is the JSON document of an input file.
type fileDocument struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Purpose   string `json:"purpose"`
	Filename  string `json:"filename,omitempty"`
	Bytes     int64  `json:"bytes"`
	Items     int    `json:"items"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at"`
}

func newFileDocument(f FileView) fileDocument {
	return fileDocument{
		ID:        f.ID,
		Object:    "file",
		Purpose:   "batch",
		Filename:  f.Name,
		Bytes:     f.Bytes,
		Items:     f.Items,
		CreatedAt: f.Created.Unix(),
		ExpiresAt: f.Kept.Unix(),
	}
}

type deletedDocument struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// resultLine is one line of an output file.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resultMessages holds the error messages of the result codes.
var resultMessages = map[resultCode]string{
	itemFailed:   fmt.Sprintf("%d attempts ended with a server error; the last answer follows", MaxAttempts),
	itemCrashed:  "endpoints crashed running a request of this content; it is not run again",
	itemUnknown:  "the item may have run, and must not run twice",
	itemTooLarge: fmt.Sprintf("the answer exceeds %d bytes", MaxResultBytes),
}

// newResultLine returns the line of a result in the output file. It is
// deterministic: the same result always gives the same bytes.
func newResultLine(job string, r *ItemResult) ([]byte, error) {
	line := resultLine{ID: fmt.Sprintf("%s-%d", job, r.Item), CustomID: r.CustomID}
	if r.Status != 0 {
		line.Response = &resultResponse{r.Status, r.Attempt, asJSON(r.Body)}
	}
	if code := resultCode(r.Code); code != itemDone {
		line.Error = &resultError{r.Code, resultMessages[code]}
	}
	b, err := json.Marshal(line)
	return append(b, '\n'), err
}

// asJSON returns b if it is valid JSON, and a JSON string of it otherwise.
func asJSON(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}
	s, _ := json.Marshal(string(b))
	return s
}

// getContent serves the content of an output file, which is the results of its
// job.
func (h *Handler) getContent(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	job, ok := strings.CutPrefix(r.PathValue("id"), outputPrefix)
	if !ok {
		return api.NewError(http.StatusNotFound, api.CodeNotFound, "only output files can be read")
	}
	r.SetPathValue("id", job)
	return h.getResults(w, r, customer)
}

// writeTimeout bounds the time for writing one page of results to the caller.
const writeTimeout = 30 * time.Second

// getResults streams the results so far, in the order of the items. After a
// failure in the middle it aborts the connection, so that the caller can't take
// a part of the results for all of them.
func (h *Handler) getResults(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	v, e := h.findJob(r, customer)
	if e != nil {
		return e
	}
	args := PageArgs{Customer: customer, Job: v.ID, Request: pipeline.RequestID(r.Context())}
	page, err := h.service.Page(r.Context(), args)
	if err != nil {
		return stateUnavailable()
	}
	w.Header().Set("Content-Type", "application/jsonl")
	control := http.NewResponseController(w)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := writeLines(w, v.ID, page.Results); err != nil {
			panic(http.ErrAbortHandler)
		}
		if page.Next == 0 {
			return nil
		}
		args.From = page.Next
		if page, err = h.service.Page(r.Context(), args); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeLines(w http.ResponseWriter, job string, results []ItemResult) error {
	for i := range results {
		line, err := newResultLine(job, &results[i])
		if err != nil {
			return err
		}
		if _, err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}

package jobs

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// Submit creates a job for a stored file. It returns once the job is durable.
func (s *Service) Submit(ctx context.Context, customer, key, fileID string, params *JobParams) (View, *api.Error) {
	window, fail := parseWindow(params.Window)
	if fail != nil {
		return View{}, fail
	}
	n, ok := partitionOf(filePrefix, fileID)
	if !ok {
		return View{}, fileNotFound(fileID)
	}
	f, err := s.File(ctx, customer, fileID)
	if err != nil {
		return View{}, logUnavailable()
	}
	if f.ID == "" {
		return View{}, fileNotFound(fileID)
	}
	id := newID(jobPrefix, n, shortDigest(customer, "file", fileID))
	if key != "" {
		id = newID(jobPrefix, n, shortDigest(customer, "key", key))
	}
	if known, err := s.Get(ctx, customer, id); err == nil && known.ID != "" {
		return known, resendConflict(known, f.Digest)
	}
	a, err := newAppender(ctx, s.opts.Log, streamName(n))
	if err != nil {
		return View{}, logUnavailable()
	}
	j := s.newJobRecord(id, fileID, customer, params, time.Now(), window)
	if fail := s.commit(ctx, a, s.nextNonce(), encodeRecord(&header{Job: j})); fail != nil {
		return View{}, fail
	}
	return newJobView(j, &fileRecord{Digest: f.Digest, Items: f.Items}), nil
}

func (s *Service) newJobRecord(id, fileID, customer string, p *JobParams, now time.Time, window time.Duration) *jobRecord {
	due := now.Add(window)
	return &jobRecord{
		ID:       id,
		Customer: customer,
		File:     fileID,
		Endpoint: p.Endpoint,
		Window:   p.Window,
		Metadata: p.Metadata,
		Created:  now,
		Due:      due,
		Expires:  due.Add(ExpireAfterDue),
		Kept:     due.Add(ExpireAfterDue + s.opts.ResultRetention),
	}
}

// newJobView returns the view of a job that was just committed.
func newJobView(j *jobRecord, f *fileRecord) View {
	fresh := &job{jobRecord: *j, file: &file{fileRecord: *f}, items: make([]item, f.Items)}
	return fresh.view()
}

// commit appends the record that commits a file or a job.
func (s *Service) commit(ctx context.Context, a *appender, id string, data []byte) *api.Error {
	offset, outcome := a.append(ctx, id, data)
	switch outcome {
	case api.Done:
		s.checkAcknowledged(offset, id)
		return nil
	case api.NotRun:
		return logUnavailable()
	default:
		return api.NewError(http.StatusServiceUnavailable, api.CodeLogDown,
			"the log did not confirm: the submission may be accepted; send it again with the same idempotency key").
			WithOutcome(api.Unknown).WithRetryAfter(logRetryAfter)
	}
}

func (s *Service) checkAcknowledged(offset infra.Offset, id string) {
	s.opts.Invariants.Check(offset > 0, invariant.AcknowledgedIsDurable, "submission %s acknowledged without an offset", id)
}

func logUnavailable() *api.Error {
	return api.NewError(http.StatusServiceUnavailable, api.CodeLogDown, "the log is unavailable, nothing was accepted").
		WithRetryAfter(logRetryAfter)
}

func fileNotFound(id string) *api.Error {
	return api.NewError(http.StatusNotFound, api.CodeNotFound, "no such file: "+id)
}

// maxWindow is the longest completion window.
const maxWindow = 14 * 24 * time.Hour

func parseWindow(window string) (time.Duration, *api.Error) {
	if window == "" {
		return DefaultWindow, nil
	}
	d, err := time.ParseDuration(window)
	if err != nil || d <= 0 || d > maxWindow {
		return 0, api.NewError(http.StatusBadRequest, api.CodeBadRequest,
			fmt.Sprintf("completion_window must be a duration such as \"24h\", at most %s", maxWindow))
	}
	return d, nil
}

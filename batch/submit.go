package batch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/config"
	"dandelionrelay/keyedlog"
)

// Submission is a job to be accepted, with the requests of its items.
type Submission struct {
	Job      // Owner and the items' Ref are not set
	Requests []Request
	Policy   config.BatchPolicy
}

// Submit accepts a job and stores it with its requests. It also returns nil for a
// job of the same customer and ID that was accepted before. It fails with
// TokenLimitExceeded, IDInUse, TooLarge, Unreachable or Indeterminate.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	if v, ok := s.Index.state.view(sub.ID); ok {
		return checkResubmission(v.Job, sub)
	}
	s.unacknowledged.begin(sub.ID)
	err := s.accept(ctx, sub)
	s.unacknowledged.end(time.Now(), sub.ID, err)
	return err
}

// accept stores a job that is not known, and its requests.
func (s *Service) accept(ctx context.Context, sub Submission) error {
	if err := s.precheckTokenLimit(ctx, sub); err != nil {
		return err
	}
	partition := s.contents.partition(sub.ID)
	records := make([]keyedlog.Record, len(sub.Requests))
	for i, r := range sub.Requests {
		value, err := encodeContent(r, r.Body)
		if err != nil {
			return err
		}
		records[i] = keyedlog.Record{Key: itemKey(kindRequest, sub.ID, i), Value: value}
		if recordSize(records[i]) > s.limits.Load().RecordBytes {
			return TooLarge.New("item %d takes %d bytes, over %d", i, recordSize(records[i]), s.limits.Load().RecordBytes)
		}
	}
	refs, err := s.contents.put(ctx, partition, records, s.limits.Load().CallBytes)
	if err != nil {
		return Unreachable.Wrap(err, "failed to store request bodies")
	}
	accepted := sub.Job
	accepted.Owner = s.Self
	for i := range accepted.Items {
		accepted.Items[i].Ref = refs[i]
	}
	err = s.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) {
		if j := state.jobs[sub.ID]; j != nil {
			return nil, checkResubmission(j.Job, sub)
		}
		if err := checkTokenLimit(state, sub); err != nil {
			return nil, err
		}
		record, err := encode(key(kindJob, sub.ID), accepted)
		return []keyedlog.Record{record}, err
	})
	if err == nil || errorx.IsOfType(err, TokenLimitExceeded) || errorx.IsOfType(err, Indeterminate) || errorx.IsOfType(err, IDInUse) {
		return err
	}
	return Unreachable.Wrap(err, "failed to append the job to the index")
}

// checkResubmission returns IDInUse if the job that is known under the ID of a
// submission is another customer's.
func checkResubmission(known Job, sub Submission) error {
	if known.Customer != sub.Customer {
		return IDInUse.New("job %s is another customer's", sub.ID)
	}
	return nil
}

// precheckTokenLimit rejects a job that exceeds the token limit before its
// requests are stored. Before it does, it refreshes the replayed index, as pending
// items may have finished.
func (s *Service) precheckTokenLimit(ctx context.Context, sub Submission) error {
	check := func() error {
		s.Index.state.mu.Lock()
		defer s.Index.state.mu.Unlock()
		return checkTokenLimit(s.Index.state, sub)
	}
	if check() == nil {
		return nil
	}
	if err := s.refresh(ctx); err != nil {
		return Unreachable.Wrap(err, "failed to read pending items from the index")
	}
	return check()
}

// checkTokenLimit returns TokenLimitExceeded if a job and the customer's pending
// items on its route exceed MaxTokens of the policy; 0 means no limit. The
// caller holds the lock of state.
func checkTokenLimit(state *IndexState, sub Submission) error {
	if sub.Policy.MaxTokens == 0 {
		return nil
	}
	tokens := 0
	for _, item := range sub.Items {
		tokens += item.Tokens
	}
	pending := state.pendingTokens(sub.Customer, sub.Route)
	if pending+tokens > sub.Policy.MaxTokens {
		return TokenLimitExceeded.New("%d tokens wait, %d more exceed %d", pending, tokens, sub.Policy.MaxTokens)
	}
	return nil
}

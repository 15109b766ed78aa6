package batch

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/keyedlog"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
	"dandelionrelay/upstream"
)

// Peers reports which entries run their jobs and which can take over jobs of others.
type Peers interface {
	// Alive reports whether an incarnation of an entry still runs its jobs.
	Alive(entry string, incarnation uint64) bool
	// Candidates returns the entries that can take over jobs, this one included.
	Candidates() []string
}

// Deps are the dependencies and settings of a Service.
type Deps struct {
	Self    Owner
	Index   *Index
	Stores  []Store
	Limits  Limits // at the start; see SetLimits
	Config  config.Source
	Table   *placement.Table
	Pool    *upstream.Pool
	Dialect upstream.Dialect
	Peers   Peers
	// MayStart reports whether the configuration is recent enough to send items to
	// endpoints. nil: it always is.
	MayStart func() bool
	// MayTakeOver reports whether an entry may take over jobs whose items have these homes,
	// of which there is at least one. nil: all may.
	MayTakeOver func(entry string, homes []locality.Homes) bool
	Clock       boottime.Clock
	Log         zerolog.Logger
	Metrics     *Metrics
}

// Limits are the sizes and the retention that a Service observes.
type Limits struct {
	CallBytes int // maximum bytes of records in one append
	// RecordBytes is the maximum size of one record in bytes: a request or a
	// checkpoint with its header, or an output, each with its key and
	// recordOverhead. The key of an output counts as maxOutputKey.
	RecordBytes int
	Retention   time.Duration // how long finished jobs are kept after their submission
}

// Service accepts batch jobs, runs those that this entry owns and serves the
// results of all. Its methods may be called concurrently.
type Service struct {
	Deps
	contents *contents
	runner   *runner
	limits   atomic.Pointer[Limits]

	unacknowledged unacknowledged

	unclaimable map[string]bool // jobs without an entry that may take them over, at the last check; used by takeOverLoop only
}

// New returns a Service, which runs jobs once Run is called.
func New(d Deps) *Service {
	s := &Service{Deps: d, contents: newContents(d.Stores)}
	s.SetLimits(d.Limits)
	s.runner = newRunner(s)
	return s
}

// SetLimits replaces the limits. Appends that have begun use the ones before.
func (s *Service) SetLimits(l Limits) { s.limits.Store(&l) }

// Errors of calls. Each means that the call had no effect, unlike Indeterminate. Only
// Cancel also returns Unreachable if its effect is unknown.
var (
	// TokenLimitExceeded reports that the job and the customer's pending items
	// together exceed the token limit of the route.
	TokenLimitExceeded = Errors.NewType("too_many")
	// IDInUse reports that the job ID is used by a job of another customer.
	IDInUse = Errors.NewType("taken")
	// TooLarge reports that an item exceeds the maximum size of a record.
	TooLarge = Errors.NewType("too_large")
	// NotFound reports that the customer has no such job or item.
	NotFound = Errors.NewType("not_found")
	// Unreachable reports that the store is unavailable.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// refreshTimeout bounds one refresh of the replayed index on behalf of a caller.
const refreshTimeout = 700 * time.Millisecond

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

// refresh loads the index or, if it is loaded, replays one page of new records from
// it.
func (s *Service) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return s.Index.follower.Refresh(ctx)
}

// findJob returns a job of a customer. If the job is not known yet, it refreshes the
// replayed index first. It fails with NotFound or Unreachable.
func (s *Service) findJob(ctx context.Context, customer, id string) (view, error) {
	v, ok := s.Index.state.view(id)
	if !ok {
		if err := s.refresh(ctx); err != nil {
			return view{}, Unreachable.Wrap(err, "failed to look up the job in the index")
		}
		v, ok = s.Index.state.view(id)
	}
	if !ok || v.Customer != customer {
		return view{}, NotFound.New("no job %s", id)
	}
	return v, nil
}

// ItemResult is the result of one item with its output.
type ItemResult struct {
	Item   string
	State  ItemState
	Output []byte
}

// Page is a range of a job's results.
type Page struct {
	Total   int // number of items of the job
	Results []ItemResult
}

// Results returns the results at position after and later ones, as many as fit in
// maxBytes of output but at least one if there is any. It waits up to wait for the
// first. It fails with NotFound or Unreachable.
func (s *Service) Results(ctx context.Context, customer, id string, after int, wait time.Duration, maxBytes int) (Page, error) {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return Page{}, err
	}
	v = s.awaitResult(ctx, v, after, wait)
	if after >= len(v.results) {
		if v, err = s.confirm(ctx, v); err != nil {
			return Page{}, err
		}
	}
	page := Page{Total: len(v.Items)}
	if after >= len(v.results) {
		return page, nil
	}
	size := 0
	for _, r := range v.results[after:] {
		output, err := s.readOutput(ctx, r)
		if err != nil && len(page.Results) == 0 {
			return Page{}, Unreachable.Wrap(err, "failed to read a stored output")
		}
		size += len(output)
		if err != nil || len(page.Results) > 0 && size > maxBytes {
			break
		}
		page.Results = append(page.Results, ItemResult{Item: v.Items[r.Item].ID, State: r.State, Output: output})
	}
	return page, nil
}

// maxUnconfirmedAge is the age of the replayed index up to which Results reports
// that there are no further results without refreshing the index. It is half of the
// time after which a result that was read at one entry must be known at all entries.
const maxUnconfirmedAge = 500 * time.Millisecond

// confirm returns v if the replayed index is younger than maxUnconfirmedAge.
// Otherwise it refreshes the index once, by one page, and returns the view after
// that; results beyond that page may still be unknown here. It fails with
// Unreachable if the refresh fails.
func (s *Service) confirm(ctx context.Context, v view) (view, error) {
	if age, ok := s.Index.follower.Age(); ok && age < maxUnconfirmedAge {
		return v, nil
	}
	if err := s.refresh(ctx); err != nil {
		return v, Unreachable.Wrap(err, "failed to confirm that the index is up to date")
	}
	if newer, ok := s.Index.state.view(v.ID); ok {
		v = newer
	}
	return v, nil
}

// awaitResult waits up to wait for a result at position after and returns the
// latest view. It returns early if the job gets no further results or ctx ends.
func (s *Service) awaitResult(ctx context.Context, v view, after int, wait time.Duration) view {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for after >= len(v.results) && len(v.listed) < len(v.Items) && !v.cancelled {
		select {
		case <-v.changed:
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
		newer, ok := s.Index.state.view(v.ID)
		if !ok {
			return v
		}
		v = newer
	}
	return v
}

// readOutput returns the output of a result, nil if it has none.
func (s *Service) readOutput(ctx context.Context, r Result) ([]byte, error) {
	if r.Output.Size == 0 {
		return nil, nil
	}
	return s.contents.get(ctx, r.Output)
}

// ItemBody returns the request body of an item. It fails with NotFound or
// Unreachable.
func (s *Service) ItemBody(ctx context.Context, customer, id, item string) ([]byte, error) {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	for _, it := range v.Items {
		if it.ID != item {
			continue
		}
		r, err := s.contents.request(ctx, it.Ref)
		if err != nil {
			return nil, Unreachable.Wrap(err, "failed to read a stored request body")
		}
		return r.Body, nil
	}
	return nil, NotFound.New("no item %s in job %s", item, id)
}

// Cancel cancels a job: its items without a result get none. It returns nil also
// for a job that was cancelled before. It fails with NotFound, or with
// Unreachable, also if the cancellation may have taken or may still take effect.
func (s *Service) Cancel(ctx context.Context, customer, id string) error {
	v, err := s.findJob(ctx, customer, id)
	if err != nil {
		return err
	}
	if v.cancelled {
		return nil
	}
	err = s.Index.update(ctx, func(state *IndexState) ([]keyedlog.Record, error) {
		if j := state.jobs[id]; j == nil || j.cancelled {
			return nil, nil
		}
		record, err := encode(key(kindCancel, id), json.RawMessage("{}"))
		return []keyedlog.Record{record}, err
	})
	if err != nil {
		return Unreachable.Wrap(err, "failed to append the cancellation to the index")
	}
	return nil
}

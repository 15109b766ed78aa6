package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/keyedlog"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/upstream"
)

// Peers tells which entries do their duties.
type Peers interface {
	// Alive reports whether an incarnation of an entry still does.
	Alive(entry string, incarnation uint64) bool
	// Candidates returns the entries that can take over, this one included.
	Candidates() []string
}

// Deps is what a Service works with.
type Deps struct {
	Self      Owner
	Index     *Index
	Stores    []Store
	CallBytes int // bytes of records in one append at most
	// RecordBytes bounds one record: a body or an output with its head.
	RecordBytes int
	Retention   time.Duration // finished jobs are kept so long after their submission
	Config      config.Source
	Table       *placement.Table
	Pool        *upstream.Pool
	Dialect     upstream.Dialect
	Peers       Peers
	Suspects    quarantine.Suspects // requests and items that endpoints died of
	Clock       boottime.Clock
	Log         zerolog.Logger
	Metrics     *Metrics
}

// Service accepts batch jobs, runs those that this entry owns and answers for
// all.
type Service struct {
	Deps
	contents *contents
	runner   *runner
}

// New returns a Service.
func New(d Deps) *Service {
	s := &Service{Deps: d, contents: newContents(d.Stores)}
	s.runner = newRunner(s)
	return s
}

// Errors of calls. None has an effect but Unsure.
var (
	// TokenLimitExceeded says that the customer's waiting items leave no room for the job.
	TokenLimitExceeded = Errors.NewType("too_many")
	// IDInUse says that the id is that of another customer's job.
	IDInUse = Errors.NewType("taken")
	// TooLarge says that an item is larger than what can be stored.
	TooLarge = Errors.NewType("too_large")
	// NotFound says that there is no such job or item.
	NotFound = Errors.NewType("not_found")
	// Unreachable says that the store can't be asked, and nothing was done.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// refreshTimeout bounds a look at the end of the index on behalf of a caller.
const refreshTimeout = 700 * time.Millisecond

// Submission is a job that a caller hands in.
type Submission struct {
	Job      // without Owner and the items' refs
	Requests []Request
	Policy   config.BatchPolicy
}

// Submit accepts a job. It returns nil also for a job that was accepted before.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	if v, ok := s.Index.ledger.view(sub.ID); ok {
		return again(v.Job, sub)
	}
	if err := s.room(ctx, sub); err != nil {
		return err
	}
	part := s.contents.part(sub.ID)
	records := make([]keyedlog.Record, len(sub.Requests))
	for i, r := range sub.Requests {
		value, err := join(r, r.Body)
		if err != nil {
			return err
		}
		records[i] = keyedlog.Record{Key: itemKey(kindRequest, sub.ID, i), Value: value}
		if weight(records[i]) > s.RecordBytes {
			return TooLarge.New("item %d takes %d bytes, over %d", i, weight(records[i]), s.RecordBytes)
		}
	}
	refs, err := s.contents.put(ctx, part, records, s.CallBytes)
	if err != nil {
		return Unreachable.Wrap(err, "bodies not stored")
	}
	accepted := sub.Job
	accepted.Owner = s.Self
	for i := range accepted.Items {
		accepted.Items[i].Ref = refs[i]
	}
	err = s.Index.change(ctx, func(l *IndexState) ([]keyedlog.Record, error) {
		if j := l.jobs[sub.ID]; j != nil {
			return nil, again(j.Job, sub)
		}
		if err := fits(l, sub); err != nil {
			return nil, err
		}
		record, err := encode(key(kindJob, sub.ID), accepted)
		return []keyedlog.Record{record}, err
	})
	if err == nil || errorx.IsOfType(err, TokenLimitExceeded) || errorx.IsOfType(err, Indeterminate) || errorx.IsOfType(err, IDInUse) {
		return err
	}
	return Unreachable.Wrap(err, "job not stored")
}

// again judges a submission whose job is known.
func again(known Job, sub Submission) error {
	if known.Customer != sub.Customer {
		return IDInUse.New("job %s is another customer's", sub.ID)
	}
	return nil
}

// room refuses a job that does not fit, if that is certain.
func (s *Service) room(ctx context.Context, sub Submission) error {
	check := func() error {
		s.Index.ledger.mu.Lock()
		defer s.Index.ledger.mu.Unlock()
		return fits(s.Index.ledger, sub)
	}
	if check() == nil {
		return nil
	}
	if err := s.refresh(ctx); err != nil {
		return Unreachable.Wrap(err, "waiting items not known")
	}
	return check()
}

// fits refuses a job that would exceed the bound of its customer.
func fits(l *IndexState, sub Submission) error {
	if sub.Policy.MaxTokens == 0 {
		return nil
	}
	tokens := 0
	for _, item := range sub.Items {
		tokens += item.Tokens
	}
	waiting := l.waiting(sub.Customer, sub.Route)
	if waiting+tokens > sub.Policy.MaxTokens {
		return TokenLimitExceeded.New("%d tokens wait, %d more exceed %d", waiting, tokens, sub.Policy.MaxTokens)
	}
	return nil
}

// refresh reads the index up to its end.
func (s *Service) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return s.Index.follower.Refresh(ctx)
}

// find returns a job of a customer, after a look at the end of the index if it
// is not known yet.
func (s *Service) find(ctx context.Context, customer, id string) (view, error) {
	v, ok := s.Index.ledger.view(id)
	if !ok {
		if err := s.refresh(ctx); err != nil {
			return view{}, Unreachable.Wrap(err, "job not known here")
		}
		v, ok = s.Index.ledger.view(id)
	}
	if !ok || v.Customer != customer {
		return view{}, NotFound.New("no job %s", id)
	}
	return v, nil
}

// ItemResult is one result with its output.
type ItemResult struct {
	Item   string
	State  ItemState
	Output []byte
}

// Page is some of a job's results.
type Page struct {
	Total   int // items of the job
	Results []ItemResult
}

// Results returns results from position after on, as many as fit in maxBytes
// but at least one if there is any. It waits up to wait for the first.
func (s *Service) Results(ctx context.Context, customer, id string, after int, wait time.Duration, maxBytes int) (Page, error) {
	v, err := s.find(ctx, customer, id)
	if err != nil {
		return Page{}, err
	}
	v = s.await(ctx, v, after, wait)
	if after >= len(v.results) {
		if v, err = s.certain(ctx, v); err != nil {
			return Page{}, err
		}
	}
	page := Page{Total: len(v.Items)}
	if after >= len(v.results) {
		return page, nil
	}
	size := 0
	for _, r := range v.results[after:] {
		output, err := s.output(ctx, r)
		if err != nil && len(page.Results) == 0 {
			return Page{}, Unreachable.Wrap(err, "output not read")
		}
		size += len(output)
		if err != nil || len(page.Results) > 0 && size > maxBytes {
			break
		}
		page.Results = append(page.Results, ItemResult{Item: v.Items[r.Item].ID, State: r.State, Output: output})
	}
	return page, nil
}

// certainAge is the age of the index up to which it is certain that there are
// no further results: half of the time after which a result that was read
// somewhere must be known.
const certainAge = 500 * time.Millisecond

// certain returns what is known of a job now; it fails if there may be results
// that are not known here.
func (s *Service) certain(ctx context.Context, v view) (view, error) {
	if age, ok := s.Index.follower.Age(); ok && age < certainAge {
		return v, nil
	}
	if err := s.refresh(ctx); err != nil {
		return v, Unreachable.Wrap(err, "results not certain")
	}
	if newer, ok := s.Index.ledger.view(v.ID); ok {
		v = newer
	}
	return v, nil
}

// await waits for a result at position after.
func (s *Service) await(ctx context.Context, v view, after int, wait time.Duration) view {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for after >= len(v.results) && len(v.listed) < len(v.Items) && !v.ended {
		select {
		case <-v.changed:
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
		newer, ok := s.Index.ledger.view(v.ID)
		if !ok {
			return v
		}
		v = newer
	}
	return v
}

func (s *Service) output(ctx context.Context, r Result) ([]byte, error) {
	if r.Output.Size == 0 {
		return nil, nil
	}
	return s.contents.get(ctx, r.Output)
}

// ItemBody returns the body of an item.
func (s *Service) ItemBody(ctx context.Context, customer, id, item string) ([]byte, error) {
	v, err := s.find(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	for _, it := range v.Items {
		if it.ID != item {
			continue
		}
		r, err := s.contents.request(ctx, it.Ref)
		if err != nil {
			return nil, Unreachable.Wrap(err, "body not read")
		}
		return r.Body, nil
	}
	return nil, NotFound.New("no item %s in job %s", item, id)
}

// Cancel stops a job; items without a result get none.
func (s *Service) Cancel(ctx context.Context, customer, id string) error {
	v, err := s.find(ctx, customer, id)
	if err != nil {
		return err
	}
	if v.ended {
		return nil
	}
	err = s.Index.change(ctx, func(l *IndexState) ([]keyedlog.Record, error) {
		if j := l.jobs[id]; j == nil || j.ended {
			return nil, nil
		}
		record, err := encode(key(kindEnd, id), json.RawMessage("{}"))
		return []keyedlog.Record{record}, err
	})
	if err != nil {
		return Unreachable.Wrap(err, "end not stored")
	}
	return nil
}

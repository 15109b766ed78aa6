package batch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/config"
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

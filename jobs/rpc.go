package jobs

import (
	"context"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/peer"
)

// Names of the RPC methods between entries.
const (
	methodGet  = "Jobs.Get"
	methodFile = "Jobs.File"
	methodList = "Jobs.List"
	methodPage = "Jobs.Page"
)

// maxPullWait bounds the time that a call of Pull may take.
const maxPullWait = 30 * time.Second

// Register serves the job service to peers under the name "Jobs".
func (s *Service) Register(server *peer.Server) {
	server.Register("Jobs", &rpcService{s})
}

// rpcService provides the RPC methods of a Service.
type rpcService struct{ service *Service }

// callContext returns the context for a call from a peer. It ends after limit
// or with the context of Run, and has already ended if Run is not running.
func (s *Service) callContext(limit time.Duration) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	if ctx == nil {
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		return stopped, cancel
	}
	return context.WithTimeout(ctx, limit)
}

// Pull assigns items to an endpoint; see api.PullArgs.
func (r *rpcService) Pull(args api.PullArgs, reply *api.PullReply) error {
	ctx, cancel := r.service.callContext(maxPullWait)
	defer cancel()
	if ctx.Err() != nil {
		return NotReady.New("the job service does not run")
	}
	reply.Work = r.service.pull(ctx, args)
	return nil
}

// Report processes results and heartbeats; see api.ReportArgs. It returns once
// the results are durable, or an error if they are not durable in time; they
// must then be reported again.
func (r *rpcService) Report(args api.ReportArgs, reply *api.ReportReply) error {
	ctx, cancel := r.service.callContext(ReportTimeout)
	defer cancel()
	stop, err := r.service.report(ctx, args)
	reply.Stop = stop
	return err
}

// GetArgs are the arguments of Get and File, for one job or file, and of List,
// for all jobs of a customer in some partitions.
type GetArgs struct {
	Customer   string // empty: any customer
	ID         string
	Partitions []int
	After      infra.Offset // of a job: the reply reflects the stream up to and including this offset
	Request    string       // ID of the request, for the log; may be empty
}

// Get returns one job; its ID is empty if there is none.
func (r *rpcService) Get(args GetArgs, reply *View) error {
	ctx, cancel := r.service.callContext(ReportTimeout)
	defer cancel()
	r.service.logCall(args.Request, methodGet)
	v, err := r.service.localGet(ctx, args)
	*reply = v
	return err
}

// File returns one file; its ID is empty if there is none.
func (r *rpcService) File(args GetArgs, reply *FileView) error {
	ctx, cancel := r.service.callContext(ReportTimeout)
	defer cancel()
	r.service.logCall(args.Request, methodFile)
	v, err := r.service.localFile(ctx, args.Customer, args.ID)
	*reply = v
	return err
}

// List returns the jobs of a customer in some partitions.
func (r *rpcService) List(args GetArgs, reply *[]View) error {
	ctx, cancel := r.service.callContext(ReportTimeout)
	defer cancel()
	r.service.logCall(args.Request, methodList)
	v, err := r.service.localList(ctx, args)
	*reply = v
	return err
}

// PageArgs are the arguments of Page: the results of a job from item From on
// are returned.
type PageArgs struct {
	Customer string
	Job      string
	From     int
	Request  string // ID of the request, for the log; may be empty
}

// Page holds some results of a job.
type Page struct {
	Results []ItemResult
	Next    int // item from which the next page starts; 0: this is the last page
}

// Page returns some results of a job.
func (r *rpcService) Page(args PageArgs, reply *Page) error {
	ctx, cancel := r.service.callContext(ReportTimeout)
	defer cancel()
	r.service.logCall(args.Request, methodPage)
	page, err := r.service.localPage(ctx, args)
	*reply = page
	return err
}

// report passes the results and heartbeats of a report on to their partitions,
// and returns the attempts to be stopped.
func (s *Service) report(ctx context.Context, args api.ReportArgs) ([]api.WorkRef, error) {
	results := make(map[int][]api.Result)
	for _, r := range args.Results {
		if n, ok := partitionOf(jobPrefix, r.Job); ok {
			results[n] = append(results[n], r)
		}
	}
	s.locations.record(args.Endpoint, args.DataCentre, time.Now())
	evacuated := s.evacuated(args.DataCentre)
	running := make(map[int][]api.WorkRef)
	for _, ref := range args.Running {
		if n, ok := partitionOf(jobPrefix, ref.Job); ok {
			running[n] = append(running[n], ref)
		}
	}
	var stop []api.WorkRef
	for n, refs := range running {
		s.mu.Lock()
		p := s.partitions[n]
		s.mu.Unlock()
		if p != nil {
			stop = append(stop, p.heartbeat(args.Endpoint, refs, evacuated)...)
		}
	}
	for _, r := range args.Results {
		s.logItem(r.WorkRef, args.Endpoint, "item reported")
	}
	for n, rs := range results {
		p, err := s.partition(n)
		if err == nil {
			err = p.report(ctx, args.Endpoint, rs)
		}
		if err != nil {
			return stop, err
		}
	}
	return stop, nil
}

// heartbeat records what runs at an endpoint and returns the attempts to be
// stopped there. evacuated says that the endpoint's data centre is evacuated.
func (p *partition) heartbeat(endpoint string, running []api.WorkRef, evacuated bool) []api.WorkRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || !p.owned {
		return nil
	}
	stop := p.scheduler.heartbeat(time.Now(), endpoint, running)
	if evacuated {
		stop = append(stop, p.scheduler.movable(running)...)
	}
	return stop
}

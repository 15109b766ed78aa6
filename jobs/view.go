package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
)

// Status is the state of a job as shown to callers.
type Status string

// The states of a job.
const (
	StatusInProgress Status = "in_progress"
	StatusCompleted  Status = "completed"
	StatusCancelled  Status = "cancelled"
	StatusExpired    Status = "expired"
	StatusDeleted    Status = "deleted" // only the ID is set beside it
)

// View is the state of a job.
type View struct {
	ID        string
	Customer  string
	File      string
	Digest    string // SHA-256 of the file's lines, in hexadecimal
	Endpoint  string // URL path of all items, as in JobParams
	Window    string
	Metadata  map[string]string
	Status    Status
	Total     int
	Completed int // items with a response status below 400
	Failed    int
	Created   time.Time
	Due       time.Time
	Kept      time.Time // results are kept until then
	Ended     time.Time // zero while in progress
}

// FileView describes an input file.
type FileView struct {
	ID       string
	Customer string
	Name     string
	Digest   string // SHA-256 of its lines, in hexadecimal
	Bytes    int64
	Items    int
	Created  time.Time
	Kept     time.Time // removed after this time if no job uses it
}

// ItemResult is the final result of one item.
type ItemResult struct {
	Item     int
	CustomID string
	Attempt  string
	Code     string // empty: Status and Body are the endpoint's response
	Status   int
	Body     []byte
}

func (j *job) view() View {
	v := View{
		ID:        j.ID,
		Customer:  j.Customer,
		File:      j.File,
		Digest:    j.file.Digest,
		Endpoint:  j.Endpoint,
		Window:    j.Window,
		Metadata:  j.Metadata,
		Status:    StatusInProgress,
		Total:     len(j.items),
		Completed: j.done - j.failed,
		Failed:    j.failed,
		Created:   j.Created,
		Due:       j.Due,
		Kept:      j.Kept,
	}
	switch {
	case j.done == len(j.items):
		v.Status, v.Ended = StatusCompleted, j.lastCompletion
	case j.endKind == factCancel:
		v.Status, v.Ended = StatusCancelled, j.endTime
	case j.endKind == factExpire:
		v.Status, v.Ended = StatusExpired, j.endTime
	}
	return v
}

func (f *file) view() FileView {
	return FileView{
		ID:       f.ID,
		Customer: f.Customer,
		Name:     f.Name,
		Digest:   f.Digest,
		Bytes:    f.Bytes,
		Items:    f.Items,
		Created:  f.Created,
		Kept:     f.Kept,
	}
}

// localGet returns a job from the local replay of its partition.
func (s *Service) localGet(ctx context.Context, args GetArgs) (View, error) {
	customer, id := args.Customer, args.ID
	n, ok := partitionOf(jobPrefix, id)
	if !ok {
		return View{}, nil
	}
	p, err := s.readyPartition(ctx, n)
	if err != nil {
		return View{}, err
	}
	if err := p.await(ctx, func() bool { return p.scheduler.table.next > args.After }); err != nil {
		return View{}, err
	}
	if err := p.checkOrCatchUp(ctx, func(t *Table) bool { return t.Job(id) != nil || t.Deleted(id) }); err != nil {
		return View{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler.table.Deleted(id) {
		return View{ID: id, Status: StatusDeleted}, nil
	}
	j := p.scheduler.table.Job(id)
	if j == nil || customer != "" && j.Customer != customer || time.Now().After(j.Kept) {
		return View{}, nil
	}
	return j.view(), nil
}

// localFile returns a file from the local replay of its partition.
func (s *Service) localFile(ctx context.Context, customer, id string) (FileView, error) {
	n, ok := partitionOf(filePrefix, id)
	if !ok {
		return FileView{}, nil
	}
	p, err := s.readyPartition(ctx, n)
	if err != nil {
		return FileView{}, err
	}
	if err := p.checkOrCatchUp(ctx, func(t *Table) bool { return t.files[id] != nil }); err != nil {
		return FileView{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.scheduler.table.files[id]
	if !ok || customer != "" && f.Customer != customer {
		return FileView{}, nil
	}
	return f.view(), nil
}

// localList returns the jobs of a customer from the local replays of the given
// partitions.
func (s *Service) localList(ctx context.Context, args GetArgs) ([]View, error) {
	var out []View
	for _, n := range args.Partitions {
		if n < 0 || n >= Partitions {
			continue
		}
		p, err := s.readyPartition(ctx, n)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		for _, j := range p.scheduler.table.List(args.Customer) {
			out = append(out, j.view())
		}
		p.mu.Unlock()
	}
	return out, nil
}

// readyPartition returns a partition once it is replayed.
func (s *Service) readyPartition(ctx context.Context, n int) (*partition, error) {
	p, err := s.partition(n)
	if err != nil {
		return nil, err
	}
	return p, p.waitReady(ctx)
}

// Get returns a job of a customer from the owner of its partition. The ID is
// empty if there is none; of a deleted job only the ID and the status are set.
func (s *Service) Get(ctx context.Context, customer, id string) (View, error) {
	return s.get(ctx, GetArgs{Customer: customer, ID: id, Request: pipeline.RequestID(ctx)})
}

func (s *Service) get(ctx context.Context, args GetArgs) (View, error) {
	var v View
	n, ok := partitionOf(jobPrefix, args.ID)
	if !ok {
		return v, nil
	}
	err := s.callOwner(ctx, n, methodGet, args, &v, func(ctx context.Context) (err error) {
		v, err = s.localGet(ctx, args)
		return err
	})
	return v, err
}

// File returns a file of a customer. The ID is empty if there is none.
func (s *Service) File(ctx context.Context, customer, id string) (FileView, error) {
	var v FileView
	n, ok := partitionOf(filePrefix, id)
	if !ok {
		return v, nil
	}
	args := GetArgs{Customer: customer, ID: id, Request: pipeline.RequestID(ctx)}
	err := s.callOwner(ctx, n, methodFile, args, &v, func(ctx context.Context) (err error) {
		v, err = s.localFile(ctx, customer, id)
		return err
	})
	return v, err
}

// Page returns some results of a job.
func (s *Service) Page(ctx context.Context, args PageArgs) (Page, error) {
	var page Page
	n, ok := partitionOf(jobPrefix, args.Job)
	if !ok {
		return page, nil
	}
	err := s.callOwner(ctx, n, methodPage, args, &page, func(ctx context.Context) (err error) {
		page, err = s.localPage(ctx, args)
		return err
	})
	return page, err
}

// ownerCallTimeout bounds a call to the owner of a partition.
const ownerCallTimeout = 2 * time.Second

// callOwner calls the owner of a partition. If that fails, or if this entry is
// the owner, it calls local, which replies from the replay of the partition
// here.
func (s *Service) callOwner(ctx context.Context, n int, method string, args, reply any, local func(context.Context) error) error {
	ranked := membership.Rank(streamName(n), s.opts.Members.Entries())
	if len(ranked) > 0 && ranked[0].ID != s.opts.Self {
		callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		err := s.opts.Pool.Call(callCtx, ranked[0].RPCAddr, method, args, reply)
		cancel()
		if err == nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	return local(ctx)
}

// List returns the jobs of a customer, or of all if it is empty, newest first.
func (s *Service) List(ctx context.Context, customer string) ([]View, error) {
	byOwner := make(map[string][]int)
	entries := s.opts.Members.Entries()
	addrs := make(map[string]string)
	for n := range Partitions {
		ranked := membership.Rank(streamName(n), entries)
		id := s.opts.Self
		if len(ranked) > 0 {
			id = ranked[0].ID
			addrs[id] = ranked[0].RPCAddr
		}
		byOwner[id] = append(byOwner[id], n)
	}
	var out []View
	for id, partitions := range byOwner {
		args := GetArgs{Customer: customer, Partitions: partitions, Request: pipeline.RequestID(ctx)}
		var part []View
		var err error
		if id == s.opts.Self {
			part, err = s.localList(ctx, args)
		} else {
			callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
			err = s.opts.Pool.Call(callCtx, addrs[id], methodList, args, &part)
			cancel()
		}
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
	}
	sortViews(out)
	return out, nil
}

func sortViews(views []View) {
	slices.SortFunc(views, func(a, b View) int {
		if c := b.Created.Compare(a.Created); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
}

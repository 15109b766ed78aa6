package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/infra"
)

const (
	// PollInterval is how often View reads the platform's instance list.
	PollInterval = time.Second
	// AnnounceTTL is how long an instance that announced itself counts as a
	// member without being listed.
	AnnounceTTL = 30 * time.Second
)

// View is a Members that joins the platform's instance list, which lags, with
// what instances say of themselves: an announced instance counts before it is
// listed, one that gave notice counts as leaving while it is listed as live.
// While the list can't be read the last one stays in force.
type View struct {
	source  infra.Instances
	current atomic.Pointer[index]

	mu        sync.Mutex
	listed    []infra.Instance
	announced map[string]announcement
	leaving   map[string]struct{} // until no longer listed or announced
}

type announcement struct {
	instance infra.Instance
	until    time.Time
}

// index is one immutable state of the view.
type index struct {
	entries   []infra.Instance
	endpoints map[string][]infra.Instance // by deployment
}

// NewView returns a View of source. It is empty until the first Poll.
func NewView(source infra.Instances) *View {
	v := &View{
		source:    source,
		announced: make(map[string]announcement),
		leaving:   make(map[string]struct{}),
	}
	v.current.Store(&index{})
	return v
}

// Entries implements Members.
func (v *View) Entries() []infra.Instance { return v.current.Load().entries }

// Endpoints implements Members.
func (v *View) Endpoints(deployment string) []infra.Instance {
	return v.current.Load().endpoints[deployment]
}

// Poll reads the list once.
func (v *View) Poll(ctx context.Context) error {
	list, err := v.source.List(ctx)
	if err != nil {
		return err
	}
	v.ApplyList(list, time.Now())
	return nil
}

// Run polls the list until ctx ends.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		_ = v.Poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ApplyList takes in one reading of the platform's list.
func (v *View) ApplyList(list []infra.Instance, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = list
	for id, a := range v.announced {
		if now.After(a.until) {
			delete(v.announced, id)
		}
	}
	v.rebuild()
}

// ApplyAnnouncement takes in an instance's word that it serves.
func (v *View) ApplyAnnouncement(i infra.Instance, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i.State == infra.Leaving {
		v.leaving[i.ID] = struct{}{}
	}
	_, known := v.announced[i.ID]
	v.announced[i.ID] = announcement{instance: i, until: now.Add(AnnounceTTL)}
	if !known || i.State == infra.Leaving {
		v.rebuild()
	}
}

// RecordLeaving takes in a notice that an instance leaves.
func (v *View) RecordLeaving(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.leaving[id]; known {
		return
	}
	v.leaving[id] = struct{}{}
	v.rebuild()
}

// rebuild joins the evidence into a new index. Unchanged states keep the old
// one, so that readers can cache what they derive from it. The caller holds
// the lock.
func (v *View) rebuild() {
	joined := make(map[string]infra.Instance, len(v.listed))
	for id, a := range v.announced {
		joined[id] = a.instance
	}
	for _, i := range v.listed {
		joined[i.ID] = i
	}
	for id := range v.leaving {
		i, ok := joined[id]
		if !ok {
			delete(v.leaving, id)
			continue
		}
		i.State = infra.Leaving
		joined[id] = i
	}
	v.current.Store(newIndex(joined, v.current.Load()))
}

func newIndex(joined map[string]infra.Instance, old *index) *index {
	x := &index{endpoints: make(map[string][]infra.Instance)}
	for _, i := range joined {
		if i.Role == infra.RoleEntry {
			x.entries = append(x.entries, i)
			continue
		}
		x.endpoints[i.Deployment] = append(x.endpoints[i.Deployment], i)
	}
	x.entries = sortedOrOld(x.entries, old.entries)
	for name, list := range x.endpoints {
		x.endpoints[name] = sortedOrOld(list, old.endpoints[name])
	}
	return x
}

func sortedOrOld(list, old []infra.Instance) []infra.Instance {
	slices.SortFunc(list, func(a, b infra.Instance) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(list, old) {
		return old
	}
	return list
}

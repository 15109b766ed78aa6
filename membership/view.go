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
	// PollInterval is the interval at which View.Run reads the platform's instance list.
	PollInterval = time.Second
	// AnnounceTTL is the time after its last announcement for which an instance that
	// is not listed counts as a member.
	AnnounceTTL = 30 * time.Second
)

// View is a Members that merges the platform's instance list, which lags behind, with
// the announcements of the instances: an announced instance is a member before it is
// listed, and one that gave notice is leaving even if it is still listed as live.
// While the list can't be read, the last one remains in use. Its methods are safe for
// concurrent use.
type View struct {
	source  infra.Instances
	current atomic.Pointer[index]

	mu        sync.Mutex
	listed    []infra.Instance
	announced map[string]announcement
	leaving   map[string]struct{} // IDs, kept until neither listed nor announced
}

// announcement is the newest announcement of an instance with its expiry.
type announcement struct {
	instance infra.Instance
	until    time.Time
}

// index is an immutable snapshot of the view.
type index struct {
	entries   []infra.Instance
	endpoints map[string][]infra.Instance // by deployment
}

// NewView returns a View of source. It is empty until the first Poll or announcement.
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

// Poll reads and applies the list once. If that fails, the view does not change.
func (v *View) Poll(ctx context.Context) error {
	list, err := v.source.List(ctx)
	if err != nil {
		return err
	}
	v.ApplyList(list, time.Now())
	return nil
}

// Run polls the list every PollInterval until ctx is done.
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

// ApplyList replaces the list with the one read from the platform and drops expired
// announcements. list must not be modified afterwards.
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

// ApplyAnnouncement records that an instance announced that it is serving or leaving.
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

// RecordLeaving records a notice that an instance is leaving. It has no effect if the
// instance is neither listed nor announced.
func (v *View) RecordLeaving(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.leaving[id]; known {
		return
	}
	v.leaving[id] = struct{}{}
	v.rebuild()
}

// rebuild merges the list, announcements and leaving notices into a new index.
// Unchanged slices are reused from the old index, so that readers can cache what
// they derive from them. The caller holds v.mu.
func (v *View) rebuild() {
	merged := make(map[string]infra.Instance, len(v.listed))
	for id, a := range v.announced {
		merged[id] = a.instance
	}
	for _, i := range v.listed {
		merged[i.ID] = i
	}
	for id := range v.leaving {
		i, ok := merged[id]
		if !ok {
			delete(v.leaving, id)
			continue
		}
		i.State = infra.Leaving
		merged[id] = i
	}
	v.current.Store(newIndex(merged, v.current.Load()))
}

func newIndex(merged map[string]infra.Instance, previous *index) *index {
	x := &index{endpoints: make(map[string][]infra.Instance)}
	for _, i := range merged {
		if i.Role == infra.RoleEntry {
			x.entries = append(x.entries, i)
			continue
		}
		x.endpoints[i.Deployment] = append(x.endpoints[i.Deployment], i)
	}
	x.entries = sortedOrPrevious(x.entries, previous.entries)
	for name, list := range x.endpoints {
		x.endpoints[name] = sortedOrPrevious(list, previous.endpoints[name])
	}
	return x
}

// sortedOrPrevious sorts list and returns previous instead if both are equal.
func sortedOrPrevious(list, previous []infra.Instance) []infra.Instance {
	slices.SortFunc(list, func(a, b infra.Instance) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(list, previous) {
		return previous
	}
	return list
}

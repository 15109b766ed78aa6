package membership

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dandelionrelay/platform"
)

// PollInterval is how often View reads the platform's instance list.
const PollInterval = time.Second

// View is a Members that follows the platform's instance list. While the list
// can't be read the last one stays in force.
type View struct {
	source  platform.Instances
	current atomic.Pointer[index]
}

// index is one immutable reading of the list.
type index struct {
	entries   []platform.Instance
	endpoints map[string][]platform.Instance // by deployment
}

// NewView returns a View of source. It is empty until the first Poll.
func NewView(source platform.Instances) *View {
	v := &View{source: source}
	v.current.Store(&index{})
	return v
}

// Entries implements Members.
func (v *View) Entries() []platform.Instance { return v.current.Load().entries }

// Endpoints implements Members.
func (v *View) Endpoints(deployment string) []platform.Instance {
	return v.current.Load().endpoints[deployment]
}

// Poll reads the list once.
func (v *View) Poll(ctx context.Context) error {
	list, err := v.source.List(ctx)
	if err != nil {
		return err
	}
	v.current.Store(newIndex(list))
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

func newIndex(list []platform.Instance) *index {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	x := &index{endpoints: make(map[string][]platform.Instance)}
	for _, i := range list {
		if i.Role == platform.RoleEntry {
			x.entries = append(x.entries, i)
			continue
		}
		x.endpoints[i.Deployment] = append(x.endpoints[i.Deployment], i)
	}
	return x
}

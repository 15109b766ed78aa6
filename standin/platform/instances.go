package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrelay/infra"
)

// Instances is an infra.Instances in memory whose readers see each change only
// after a lag.
type Instances struct {
	lag time.Duration

	mu      sync.Mutex
	down    bool
	changes []change
	current []infra.Instance // the list that readers see
}

type change struct {
	visible time.Time
	list    []infra.Instance
}

// NewInstances returns an empty list whose changes become visible after lag.
func NewInstances(lag time.Duration) *Instances {
	return &Instances{lag: lag}
}

// SetDown makes every read fail while down is true.
func (i *Instances) SetDown(down bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.down = down
}

// Set replaces the list. Readers see the new list after the lag.
func (i *Instances) Set(list []infra.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, change{visible: time.Now().Add(i.lag), list: slices.Clone(list)})
}

// List implements infra.Instances.
func (i *Instances) List(context.Context) ([]infra.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, infra.Unavailable.New("list instances")
	}
	now := time.Now()
	for len(i.changes) > 0 && !i.changes[0].visible.After(now) {
		i.current = i.changes[0].list
		i.changes = i.changes[1:]
	}
	return slices.Clone(i.current), nil
}

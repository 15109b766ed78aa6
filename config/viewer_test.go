package config_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// fakeEntry returns the same reply to every call: at once if it has a state, or
// else after 500 ms.
type fakeEntry struct {
	mu    sync.Mutex
	reply config.ViewReply
	calls int
}

// setReply sets the reply and returns the number of calls since the last
// setReply.
func (e *fakeEntry) setReply(reply config.ViewReply) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := e.calls
	e.reply, e.calls = reply, 0
	return calls
}

func (e *fakeEntry) Call(_ context.Context, _, _ string, _, reply any) error {
	e.mu.Lock()
	e.calls++
	response := e.reply
	e.mu.Unlock()
	if response.State == nil {
		time.Sleep(500 * time.Millisecond)
	}
	*reply.(*config.ViewReply) = response
	return nil
}

// TestViewer_IgnoresOlderVersions lets an entry with an older version respond to a
// sidecar that has a newer one: the view must not revert, and the sidecar must not
// poll in a tight loop.
func TestViewer_IgnoresOlderVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		view := func(version uint64, slots int) config.ViewReply {
			b, err := json.Marshal(&config.State{Deployments: map[string]config.Deployment{"m": {Slots: slots}}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return config.ViewReply{Version: version, State: b}
		}
		peers := &fakeEntry{reply: view(5, 1)}
		var holder config.Holder
		viewer := config.NewViewer(config.Fleet{
			Self:    infra.Instance{ID: "s", Deployment: "m"},
			Members: membership.Static{{ID: "e", Role: infra.RoleEntry}},
			Peers:   peers,
		}, &holder, nil)
		go viewer.Run(t.Context())
		time.Sleep(time.Second)
		g.Expect(holder.Current().Version).To(gomega.Equal(uint64(5)))

		// The same view at a later version, then an older view.
		peers.setReply(config.ViewReply{Version: 9})
		time.Sleep(time.Second)
		peers.setReply(view(7, 2))
		// Check between two polls, which are 500 ms apart.
		time.Sleep(9750 * time.Millisecond)
		g.Expect(holder.Current().Version).To(gomega.Equal(uint64(9)))
		g.Expect(holder.Current().State.Deployments["m"].Slots).To(gomega.Equal(1))
		g.Expect(peers.setReply(config.ViewReply{})).To(gomega.BeNumerically("<=", 20), "calls within 9.75 s; a reply that is not newer must not be requested again at once")
	})
}

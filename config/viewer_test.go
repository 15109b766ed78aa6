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

// scripted answers every call with the same view at once, or with no news
// after a while.
type scripted struct {
	mu    sync.Mutex
	reply config.ViewReply
	calls int
}

// say changes the answer, and returns the number of calls since the last
// change.
func (s *scripted) say(reply config.ViewReply) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.reply, s.calls = reply, 0
	return calls
}

func (s *scripted) Call(_ context.Context, _, _ string, _, reply any) error {
	s.mu.Lock()
	s.calls++
	answer := s.reply
	s.mu.Unlock()
	if answer.State == nil {
		time.Sleep(500 * time.Millisecond)
	}
	*reply.(*config.ViewReply) = answer
	return nil
}

// TestViewNeverTurnsBack lets an entry that is behind answer a sidecar after
// one that was further on.
func TestViewNeverTurnsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		view := func(version uint64, slots int) config.ViewReply {
			b, err := json.Marshal(&config.State{Deployments: map[string]config.Deployment{"m": {Slots: slots}}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return config.ViewReply{Version: version, State: b}
		}
		peers := &scripted{reply: view(5, 1)}
		var holder config.Holder
		viewer := config.NewViewer(config.Fleet{
			Self:    infra.Instance{ID: "s", Deployment: "m"},
			Members: membership.Static{{ID: "e", Role: infra.RoleEntry}},
			Peers:   peers,
		}, &holder, nil)
		go viewer.Run(t.Context())
		time.Sleep(time.Second)
		g.Expect(holder.Current().Version).To(gomega.Equal(uint64(5)))

		// The same view at a later version, then an old one of an entry behind.
		peers.say(config.ViewReply{Version: 9})
		time.Sleep(time.Second)
		peers.say(view(7, 2))
		// Between two pulls, which come every half second.
		time.Sleep(9750 * time.Millisecond)
		g.Expect(holder.Current().Version).To(gomega.Equal(uint64(9)))
		g.Expect(holder.Current().State.Deployments["m"].Slots).To(gomega.Equal(1))
		g.Expect(peers.say(config.ViewReply{})).To(gomega.BeNumerically("<=", 20), "a useless answer must not be asked for in a loop")
	})
}

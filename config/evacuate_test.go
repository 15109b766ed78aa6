package config_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/locality"
	standin "dandelionrelay/standin/platform"
)

// TestLoadFiles_ChecksHomesAndColdRates guards against names of regions that match
// nothing, homes listed twice, cold rates without a time, and evacuations in files, which
// would end those made by command.
func TestLoadFiles_ChecksHomesAndColdRates(t *testing.T) {
	g := gomega.NewWithT(t)
	_, findings := config.LoadFiles(map[string][]byte{"a.json": []byte(`{
  "customers": {
    "north": {"rate": 1, "burst": 1, "homes": ["eu", "us", "eu", ""]}
  },
  "deployments": {
    "m": {"kind": "model", "model": "x", "slots": 1, "cold_rate": -1, "cold_time": "-1s"},
    "n": {"kind": "model", "model": "x", "slots": 1, "cold_rate": 23},
    "o": {"kind": "plain", "slots": 1, "cold_rate": 23, "cold_time": "30s"}
  },
  "routes": {
    "r": {"model": "x", "deployment": "m", "homes": ["a b"]},
    "s": {"path_prefix": "/s", "deployment": "o", "homes": ["eu"]}
  },
  "evacuations": {"dc-1": true}
}`)})
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	g.Expect(got).To(gomega.ConsistOf(
		gomega.ContainSubstring(`a.json:3 /customers/north/homes/2: region "eu" is listed twice`),
		gomega.ContainSubstring(`a.json:3 /customers/north/homes/3: the name of a region`),
		gomega.ContainSubstring(`a.json:6 /deployments/m/cold_rate: must not be negative`),
		gomega.ContainSubstring(`a.json:6 /deployments/m/cold_time: must be between`),
		gomega.ContainSubstring(`a.json:7 /deployments/n/cold_rate: cold_rate and cold_time`),
		gomega.ContainSubstring(`a.json:11 /routes/r/homes/0: the name of a region`),
		gomega.ContainSubstring(`a.json:14 /evacuations: evacuations are not part of the files`),
	))
}

// TestValidateHomes_ChecksRegionsThatAreAdded guards against a misspelt home, which would
// have all requests of a customer refused, and against settings without regions that hold
// up other changes.
func TestValidateHomes_ChecksRegionsThatAreAdded(t *testing.T) {
	g := gomega.NewWithT(t)
	state := func(homes ...string) *config.State {
		return &config.State{
			Customers: map[string]config.Customer{"c": {Homes: homes}},
			Routes:    map[string]config.Route{"r": {Homes: homes}},
		}
	}
	regions := locality.Regions{"dc-1": "eu"}
	g.Expect(config.ValidateHomes(state(), state("eu"), nil, regions)).To(gomega.BeEmpty())
	findings := config.ValidateHomes(state(), state("eu", "ue"), nil, regions)
	g.Expect(findings).To(gomega.HaveLen(2))
	g.Expect(findings[0].String()).To(gomega.ContainSubstring(`/customers/c/homes/1: no data centre of region "ue"`))
	g.Expect(findings[1].Pointer).To(gomega.Equal("/routes/r/homes/1"))
	g.Expect(config.ValidateHomes(state("eu"), state("eu"), nil, nil)).To(gomega.BeEmpty())
}

// TestDelta_ContainsEvacuations guards against an evacuation that a delta, the hash or the
// view of a sidecar leaves out.
func TestDelta_ContainsEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	from := &config.State{}
	to := &config.State{Evacuations: map[string]bool{"dc-1": true}}
	next, hash := from.Apply(config.Diff(from, to), config.HashOf(from))
	g.Expect(next.Evacuations).To(gomega.Equal(to.Evacuations))
	g.Expect(hash).To(gomega.Equal(config.HashOf(to)))
	g.Expect(hash).NotTo(gomega.Equal(config.HashOf(from)))
	g.Expect(next.ViewOf("d").Evacuations).To(gomega.HaveKey("dc-1"))
	g.Expect(config.Plan(from, to)).To(gomega.HaveLen(1))
	g.Expect(config.Plan(from, to)[0].String()).To(gomega.Equal("+ evacuations/dc-1"))

	ended, hash := next.Apply(config.Diff(to, from), hash)
	g.Expect(ended.Evacuations).To(gomega.BeEmpty())
	g.Expect(hash).To(gomega.Equal(config.HashOf(from)))

	homes := &config.State{Routes: map[string]config.Route{"r": {Homes: locality.Homes{"eu"}}}}
	g.Expect(config.Diff(&config.State{Routes: map[string]config.Route{"r": {}}}, homes).Len()).To(gomega.Equal(1))
}

// racingLog calls before once, ahead of the first append.
type racingLog struct {
	infra.Log
	once   sync.Once
	before func()
}

// Append implements infra.Log.
func (l *racingLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	l.once.Do(l.before)
	return l.Log.Append(ctx, stream, id, data)
}

// TestFollower_EvacuateAmongOtherChanges evacuates at one entry while another operator's
// change is accepted first. It guards against an evacuation that is lost to a conflict,
// against a repetition that evacuates again, and against an apply that is proposed from a
// state read before the evacuation and ends it.
func TestFollower_EvacuateAmongOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		var holder, otherHolder config.Holder
		other := config.NewFollower(log, &otherHolder, nil, nil)
		go other.Run(t.Context())
		time.Sleep(time.Second)
		files := &config.State{Customers: map[string]config.Customer{"a": {Rate: 1, Burst: 1}}}
		racing := &racingLog{Log: log, before: func() {
			entry, err := other.Propose(t.Context(), 0, files, "ann")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
		}}
		follower := config.NewFollower(racing, &holder, nil, nil)
		id := uuid.NewString()
		entry, err := follower.Evacuate(t.Context(), id, "dc-1", false, "bo")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
		g.Expect(entry.Version).To(gomega.Equal(uint64(2)))
		again, err := follower.Evacuate(t.Context(), id, "dc-1", false, "bo")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Offset).To(gomega.Equal(entry.Offset), "a repeated call must not change anything")

		edit := func(inForce *config.State) *config.State { return files.WithEvacuationsOf(inForce) }
		entry, err = other.ProposeEdit(t.Context(), uuid.NewString(), 2, edit, "ann")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
		g.Expect(otherHolder.Current().State.Evacuations).To(gomega.HaveKey("dc-1"))
		g.Expect(otherHolder.Current().State.Customers).To(gomega.HaveKey("a"))
	})
}

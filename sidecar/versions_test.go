package sidecar_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

// withVersion returns an option of newFixture that sets the version of the endpoint's
// software.
func withVersion(v string) func(*sidecar.Settings, *sidecar.Deps) {
	return func(s *sidecar.Settings, _ *sidecar.Deps) { s.EndpointVersion = v }
}

// A text that software of another version has begun, or that names no version where the
// endpoint's has one, is not continued.
func TestSidecar_ContinuesOnlyTextsOfItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		own, text string
		want      api.Code // empty: continued
	}{
		"same":          {own: "v1", text: "v1"},
		"other":         {own: "v1", text: "v2", want: api.CodeVersionGone},
		"text has none": {own: "v1", want: api.CodeVersionUnknown},
		"own has none":  {text: "v2", want: api.CodeVersionGone},
		"none has one":  {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				e := newEngine(t, engine.Options{})
				f := newFixture(t, e, modelDeployment(1), withVersion(c.own))
				req := streamed(chat("hello", 20))
				text := engine.ResponseText(&req, 20)
				req.Resume = &api.Resume{Text: text[:5*engine.TokenBytes], Tokens: 5, Version: c.text}
				got := f.result(t.Context(), call{id: "1", body: req})
				g.Expect(got.header.Get(api.HeaderEndpointVersion)).To(gomega.Equal(c.own))
				if c.want == "" {
					g.Expect(got.status).To(gomega.Equal(http.StatusOK))
					g.Expect(e.Stats().Tokens).To(gomega.BeEquivalentTo(15))
					return
				}
				g.Expect(got.failure).NotTo(gomega.BeNil(), "the text is continued")
				g.Expect(got.failure.Code).To(gomega.Equal(c.want))
				g.Expect(got.failure.Outcome).To(gomega.Equal(api.NotRun))
				g.Expect(e.Stats().Tokens).To(gomega.BeZero())
			})
		})
	}
}

// An item that another version has begun begins again; one of the same version goes on.
func TestBatch_ItemsContinueOnlyTextsOfTheirVersion(t *testing.T) {
	for version, generated := range map[string]int{"v1": 150, "v2": 200, "": 200} {
		t.Run("begun by "+version, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				e, owner := newEngine(t, engine.Options{}), newFakeOwner()
				f := newFixture(t, e, modelDeployment(1), withBatch(owner), withVersion("v1"))
				req := chat("ledger", 200)
				w := work(0, req)
				w.Resume = &api.Resume{Text: engine.ResponseText(&req, 50), Tokens: 50, Version: version}
				owner.add(w)
				f.runBatch()
				eventually(t, "item completes", func() bool { return owner.completedCount() == 1 })
				final, _ := owner.final(0)
				g.Expect(batchText(t, final)).To(gomega.Equal(engine.ResponseText(&req, 200)))
				g.Expect(e.Stats().Tokens).To(gomega.BeEquivalentTo(generated))
			})
		})
	}
}

// An item that is returned unfinished says which version has begun it.
func TestBatch_ReturnedItemNamesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(1), withBatch(owner), withVersion("v1"))
		owner.add(work(0, chat("ledger", 2000)))
		f.runBatch()
		eventually(t, "item runs", func() bool { return e.Stats().Tokens > 50 })
		go f.result(t.Context(), call{id: "1", body: chat("hello", 2000)})
		eventually(t, "item is returned", func() bool { return owner.assignedCount() == 0 })
		owner.mu.Lock()
		defer owner.mu.Unlock()
		g.Expect(owner.pending[0].Resume.Version).To(gomega.Equal("v1"))
	})
}

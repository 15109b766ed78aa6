// Package examples checks that the example settings and configurations are valid.
package examples

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/experiment"
	"dandelionrelay/settings"
)

func TestLocal_FilesAreValid(t *testing.T) {
	g := NewWithT(t)
	_, findings := config.LoadDir("local/config")
	g.Expect(findings).To(BeEmpty())
	checkAll := func(pattern string, load func(path string) error) {
		paths, err := filepath.Glob(pattern)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			g.Expect(load(path)).To(Succeed())
		}
	}
	checkAll("local/entry-*.json", func(p string) error { _, err := settings.LoadEntry(p); return err })
	checkAll("local/sidecar-*.json", func(p string) error { _, err := settings.LoadSidecar(p); return err })
	checkAll("local/engine-*.json", func(p string) error { _, err := settings.LoadEngine(p); return err })
	checkAll("local/platform.json", func(p string) error { _, err := settings.LoadPlatform(p); return err })
}

func TestExperiment_SettingsAreValid(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadExperiment("experiment/faults.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Check("experiment/faults.json", experiment.SchemeNames())).To(Succeed())
	kinds := make(map[settings.FaultKind]bool)
	for _, f := range s.Faults {
		kinds[f.Kind] = true
	}
	g.Expect(kinds).To(HaveLen(4))
}

// TestSites_FilesAreValid checks the examples of the two sites: each has 8
// customers, one open route and one route whose calls may not be retried.
func TestSites_FilesAreValid(t *testing.T) {
	for _, site := range []string{"imbuto", "cykelnav"} {
		t.Run(site, func(t *testing.T) {
			g := NewWithT(t)
			state, findings := config.LoadDir(filepath.Join(site, "config"))
			g.Expect(findings).To(BeEmpty())
			g.Expect(state.Customers).To(HaveLen(8))
			var open, nonIdempotent int
			for _, r := range state.Routes {
				if r.Open {
					open++
				}
				if !r.Idempotent {
					nonIdempotent++
				}
			}
			g.Expect(open).To(Equal(1))
			g.Expect(nonIdempotent).To(Equal(1))
			entry, err := settings.LoadEntry(filepath.Join(site, "entry-1.json"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(entry.Operators).NotTo(BeEmpty())
			sidecar, err := settings.LoadSidecar(filepath.Join(site, "sidecar-1.json"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.Deployments).To(HaveKey(sidecar.Deployment))
		})
	}
}

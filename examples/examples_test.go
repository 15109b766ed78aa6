// Package examples checks that the example files are valid.
package examples

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/settings"
)

func TestLocalExampleIsValid(t *testing.T) {
	g := NewWithT(t)
	_, findings := config.LoadDir("local/config")
	g.Expect(findings).To(BeEmpty())
	check := func(pattern string, load func(path string) error) {
		paths, err := filepath.Glob(pattern)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			g.Expect(load(path)).To(Succeed())
		}
	}
	check("local/entry-*.json", func(p string) error { _, err := settings.LoadEntry(p); return err })
	check("local/sidecar-*.json", func(p string) error { _, err := settings.LoadSidecar(p); return err })
	check("local/engine-*.json", func(p string) error { _, err := settings.LoadEngine(p); return err })
	check("local/platform.json", func(p string) error { _, err := settings.LoadPlatform(p); return err })
}

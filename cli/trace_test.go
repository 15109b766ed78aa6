package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestTrace_PrintsLinesOfIDInOrderOfTime checks that the lines of two files are
// sorted by time, and that lines which are not JSON, and lines that have the ID in
// their message only, are omitted.
func TestTrace_PrintsLinesOfIDInOrderOfTime(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	one := write("one.log", `{"request":"abc","time":"2026-12-04T00:00:02.000Z","message":"second"}
not JSON with abc {
{"request":"other","time":"2026-12-04T00:00:01.000Z","message":"abc in its text"}
`)
	two := write("two.log", `  1.5 node {"job":"abc","time":"2026-12-04T00:00:01.500Z","message":"first"}
`)
	var out, errs bytes.Buffer
	g.Expect(Run(t.Context(), []string{"trace", "abc", one, two}, &out, &errs)).To(gomega.Equal(ExitOK))
	g.Expect(out.String()).To(gomega.Equal(`{"job":"abc","time":"2026-12-04T00:00:01.500Z","message":"first"}
{"request":"abc","time":"2026-12-04T00:00:02.000Z","message":"second"}
`))
	g.Expect(Run(t.Context(), []string{"trace", "none", one}, &out, &errs)).To(gomega.Equal(ExitFailure))
	g.Expect(Run(t.Context(), []string{"trace", "abc", filepath.Join(dir, "missing")}, &out, &errs)).To(gomega.Equal(ExitUsage))
}

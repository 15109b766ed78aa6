package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/cli"
	standin "dandelionrelay/standin/platform"
)

// allCommands lists the commands whose help is checked.
var allCommands = []string{
	"entry", "sidecar", "standin platform", "standin engine", "standin plain", "demo", "experiment",
	"init", "validate", "plan", "apply", "key new", "key withdraw", "evacuate",
	"audit", "explain", "status", "jobs", "quarantine list", "quarantine lift", "state", "token", "version",
}

// TestHelp_AllCommandsHaveExamples checks that the help of each of allCommands has
// an example, and that no line holds two.
func TestHelp_AllCommandsHaveExamples(t *testing.T) {
	for _, command := range allCommands {
		g := gomega.NewWithT(t)
		f := &cliFixture{t: t}
		g.Expect(f.run(append(strings.Fields(command), "--help")...)).To(gomega.Equal(cli.ExitOK))
		g.Expect(f.stdout).To(gomega.MatchRegexp(`(?m)^ *Example: dandelionrelay `+command), command)
		for line := range strings.Lines(f.stdout) {
			g.Expect(strings.Count(line, "Example:")).To(gomega.BeNumerically("<=", 1), line)
		}
	}
}

func TestHelp_ListsExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &cliFixture{t: t}
	g.Expect(f.run("--help")).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.stdout).To(gomega.ContainSubstring("Exit codes:"))
	g.Expect(f.run("--version")).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.stdout).To(gomega.HavePrefix("dandelionrelay "))
}

// TestJSONOutput_HasNoNulls checks that empty lists and sections are printed as
// such, and not as null.
func TestJSONOutput_HasNoNulls(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCLIFixture(t)
	parse := func(into any, args ...string) {
		t.Helper()
		g.Expect(f.run(args...)).To(gomega.Equal(cli.ExitOK))
		g.Expect(json.Unmarshal([]byte(f.stdout), into)).To(gomega.Succeed())
		g.Expect(f.stdout).NotTo(gomega.ContainSubstring("null"))
	}
	g.Expect(f.run("init", f.dir)).To(gomega.Equal(cli.ExitOK))
	var object map[string]any
	parse(new([]any), "validate", f.dir, "--json")
	parse(&object, "apply", f.dir, "--json")
	parse(&object, "apply", f.dir, "--json")
	parse(&object, "plan", f.dir, "--json")
	parse(&object, "apply", f.dir, "--dry-run", "--json")
	parse(&object, "evacuate", "dc-1", "--json")
	parse(&object, "evacuate", "--end", "dc-1", "--json")
	parse(&object, "audit", "--json")
	parse(&object, "status", "--json")
	parse(&object, "state", "--json")
	parse(&object, "version", "--json")
	var token struct{ Token, Digest string }
	parse(&token, "token", "ann", "--json")
	g.Expect(token.Token).NotTo(gomega.BeEmpty())
	g.Expect(token.Digest).To(gomega.HaveLen(64))
	parse(&object, "key", "new", "example", "--dir", f.dir, "--json")
	parse(&object, "key", "withdraw", "example-1", "--dir", f.dir, "--json")
	g.Expect(object).To(gomega.HaveKeyWithValue("withdrawn", true))
}

// TestCommands_RejectInvalidInput checks the exit code of commands with invalid
// input, and that the message names the fault.
func TestCommands_RejectInvalidInput(t *testing.T) {
	f := newCLIFixture(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		gomega.NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	gomega.NewWithT(t).Expect(f.run("init", f.dir)).To(gomega.Equal(cli.ExitOK))
	processSettings := `{"id":"x","data_centre":"a","http_addr":"127.0.0.1:1","rpc_addr":"127.0.0.1:1","ops_addr":"127.0.0.1:1",
		"platform_url":"http://127.0.0.1:1","tls":{"cert_file":"a.pem","key_file":"b","ca_file":"c"}`
	callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"error":{"code":"route_unknown","message":"no route","outcome":"not_run"}}`))
	}))
	t.Cleanup(callers.Close)
	for _, c := range []struct {
		code    int
		message string
		args    []string
	}{
		{cli.ExitUsage, "name", []string{"token", ""}},
		{cli.ExitUsage, "--id", []string{"key", "new", "example", "--dir", f.dir, "--id", "x y"}},
		{cli.ExitOK, "", []string{"validate", f.dir}},
		{cli.ExitUsage, "32 hexadecimal digits", []string{"quarantine", "lift", "x"}},
		{cli.ExitFailure, "nothing is held", []string{"quarantine", "lift", strings.Repeat("0", 32)}},
		{cli.ExitUsage, "--limit", []string{"audit", "--limit", "0"}},
		{cli.ExitUsage, "nonsense", []string{"status", "--server", "nonsense"}},
		{cli.ExitUsage, "http://", []string{"status", "--server", "ftp://127.0.0.1:1"}},
		{cli.ExitUsage, "nofile", []string{"status", "--token-file", filepath.Join(dir, "nofile")}},
		{cli.ExitUsage, "is empty", []string{"status", "--token-file", write("token", "\n")}},
		{cli.ExitFailure, "operations address", []string{"status", "--server", callers.URL}},
		{cli.ExitFindings, "no such file", []string{"validate", filepath.Join(dir, "missing")}},
		{cli.ExitFindings, "not a directory", []string{"validate", write("file", "")}},
		{cli.ExitConflict, "version 99", []string{"apply", f.dir, "--base", "99"}},
		{cli.ExitUsage, "data centre", []string{"evacuate", "a/b"}},
		{cli.ExitUsage, "--id", []string{"evacuate", "dc-1", "--id", "7"}},
		{cli.ExitUsage, "--addr", []string{"standin", "plain", "--addr", "x"}},
		{cli.ExitFindings, " /id: ", []string{"sidecar", "--settings", write("type.json", `{"id":1}`)}},
		{cli.ExitFindings, "tls.json /tls: ", []string{"entry", "--settings", write("tls.json", processSettings+"}")}},
		{cli.ExitFindings, "sidecar-tls.json /tls: ", []string{"sidecar", "--settings",
			write("sidecar-tls.json", processSettings+`,"deployment":"d","endpoint_url":"http://127.0.0.1:1"}`)}},
		{cli.ExitUsage, "lanes, no preemption", []string{"experiment", "--scheme", "nosuch"}},
		{cli.ExitUsage, "--engines", []string{"experiment", "--engines", "0"}},
		{cli.ExitUsage, "--entries", []string{"experiment", "--entries", "0"}},
		{cli.ExitUsage, "--duration", []string{"experiment", "--duration", "0s"}},
		{cli.ExitFailure, "no such file", []string{"experiment", "--csv", filepath.Join(dir, "none", "x.csv")}},
	} {
		g := gomega.NewWithT(t)
		g.Expect(f.run(c.args...)).To(gomega.Equal(c.code), strings.Join(c.args, " "))
		g.Expect(f.stderr).To(gomega.ContainSubstring(c.message))
		g.Expect(f.stderr).NotTo(gomega.ContainSubstring("cause:"))
	}
}

// TestApply_RepeatsIndeterminateChangeByID applies a change while the log is down,
// repeats it by its ID once the log is up, and checks that it was accepted once.
func TestApply_RepeatsIndeterminateChangeByID(t *testing.T) {
	const id = "6f1c2a0e-96a5-4f6e-8a8e-0d6a3b1c2d3e"
	g := gomega.NewWithT(t)
	f := newCLIFixture(t)
	g.Expect(f.run("init", f.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("apply", f.dir, "--id", "7")).To(gomega.Equal(cli.ExitUsage))
	g.Expect(f.run("apply", f.dir, "--dry-run")).To(gomega.Equal(cli.ExitOK))
	f.log.SetFaults(standin.Faults{Down: true})
	g.Expect(f.run("apply", f.dir, "--base", "0", "--id", id)).To(gomega.Equal(cli.ExitIndeterminate))
	g.Expect(f.stderr).To(gomega.ContainSubstring(id))
	g.Expect(f.stderr).To(gomega.ContainSubstring("--id " + id))
	f.log.SetFaults(standin.Faults{})
	g.Eventually(func() int { return f.run("apply", f.dir, "--base", "0", "--id", id) }, "30s").Should(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("audit")).To(gomega.Equal(cli.ExitOK))
	g.Expect(strings.Count(f.stdout, "accepted")).To(gomega.Equal(1))
}

// TestKey_ReportsChangeThatIsNotInForce applies the change of a key at an entry
// that does not respond, and from a version that is no longer in force.
func TestKey_ReportsChangeThatIsNotInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCLIFixture(t)
	g.Expect(f.run("init", f.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("apply", f.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("key", "new", "example", "--dir", f.dir, "--apply", "--server", "http://127.0.0.1:1")).To(gomega.Equal(cli.ExitFailure))
	g.Expect(f.stderr).To(gomega.ContainSubstring("written to " + f.dir + ", but it is not known to be in force"))
	g.Expect(f.run("key", "withdraw", "example-1", "--dir", f.dir, "--apply", "--base", "0")).To(gomega.Equal(cli.ExitConflict))
	g.Expect(f.run("key", "withdraw", "example-1", "--dir", f.dir, "--apply", "--base", "1")).To(gomega.Equal(cli.ExitOK))
}

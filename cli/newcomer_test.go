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

// allVerbs are the verbs that the help lists.
var allVerbs = []string{
	"entry", "sidecar", "standin platform", "standin engine", "standin plain", "demo", "experiment",
	"init", "validate", "plan", "apply", "key new", "key withdraw",
	"audit", "status", "jobs", "quarantine list", "quarantine lift", "state", "token", "version",
}

// TestHelpOfEveryVerb wants an example on a line of its own for each verb.
func TestHelpOfEveryVerb(t *testing.T) {
	for _, verb := range allVerbs {
		g := gomega.NewWithT(t)
		d := &desk{t: t}
		g.Expect(d.run(append(strings.Fields(verb), "--help")...)).To(gomega.Equal(cli.ExitOK))
		g.Expect(d.out).To(gomega.MatchRegexp(`(?m)^ *Example: dandelionrelay `+verb), verb)
		for line := range strings.Lines(d.out) {
			g.Expect(strings.Count(line, "Example:")).To(gomega.BeNumerically("<=", 1), line)
		}
	}
}

func TestHelpNamesTheExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &desk{t: t}
	g.Expect(d.run("--help")).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.out).To(gomega.ContainSubstring("Exit codes:"))
	g.Expect(d.run("--version")).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.out).To(gomega.HavePrefix("dandelionrelay "))
}

// TestJSONForScripts wants lists in JSON, empty ones included.
func TestJSONForScripts(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(t)
	parse := func(into any, args ...string) {
		t.Helper()
		g.Expect(d.run(args...)).To(gomega.Equal(cli.ExitOK))
		g.Expect(json.Unmarshal([]byte(d.out), into)).To(gomega.Succeed())
		g.Expect(d.out).NotTo(gomega.ContainSubstring("null"))
	}
	g.Expect(d.run("init", d.dir)).To(gomega.Equal(cli.ExitOK))
	var object map[string]any
	parse(new([]any), "validate", d.dir, "--json")
	parse(&object, "apply", d.dir, "--json")
	parse(&object, "apply", d.dir, "--json")
	parse(&object, "plan", d.dir, "--json")
	parse(&object, "apply", d.dir, "--dry-run", "--json")
	parse(&object, "audit", "--json")
	parse(&object, "status", "--json")
	parse(&object, "state", "--json")
	parse(&object, "version", "--json")
	var token struct{ Token, Digest string }
	parse(&token, "token", "ann", "--json")
	g.Expect(token.Token).NotTo(gomega.BeEmpty())
	g.Expect(token.Digest).To(gomega.HaveLen(64))
	parse(&object, "key", "new", "example", "--dir", d.dir, "--json")
	parse(&object, "key", "withdraw", "example-1", "--dir", d.dir, "--json")
	g.Expect(object).To(gomega.HaveKeyWithValue("withdrawn", true))
}

// TestBadInput runs verbs with input that is wrong and wants the exit code and
// a message that names what is wrong.
func TestBadInput(t *testing.T) {
	d := newDesk(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		gomega.NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	gomega.NewWithT(t).Expect(d.run("init", d.dir)).To(gomega.Equal(cli.ExitOK))
	process := `{"id":"x","data_centre":"a","http_addr":"127.0.0.1:1","rpc_addr":"127.0.0.1:1","ops_addr":"127.0.0.1:1",
		"platform_url":"http://127.0.0.1:1","tls":{"cert_file":"a.pem","key_file":"b","ca_file":"c"}`
	callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"error":{"code":"route_unknown","message":"no route","outcome":"not_run"}}`))
	}))
	t.Cleanup(callers.Close)
	for _, c := range []struct {
		code int
		says string
		args []string
	}{
		{cli.ExitUsage, "name", []string{"token", ""}},
		{cli.ExitUsage, "--id", []string{"key", "new", "example", "--dir", d.dir, "--id", "x y"}},
		{cli.ExitOK, "", []string{"validate", d.dir}},
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
		{cli.ExitConflict, "version 99", []string{"apply", d.dir, "--base", "99"}},
		{cli.ExitUsage, "--addr", []string{"standin", "plain", "--addr", "x"}},
		{cli.ExitFindings, " /id: ", []string{"sidecar", "--settings", write("type.json", `{"id":1}`)}},
		{cli.ExitFindings, "tls.json /tls: ", []string{"entry", "--settings", write("tls.json", process+"}")}},
		{cli.ExitFindings, "sidecar-tls.json /tls: ", []string{"sidecar", "--settings",
			write("sidecar-tls.json", process+`,"deployment":"d","endpoint_url":"http://127.0.0.1:1"}`)}},
		{cli.ExitUsage, "lanes, no preemption", []string{"experiment", "--scheme", "nosuch"}},
		{cli.ExitUsage, "--engines", []string{"experiment", "--engines", "0"}},
		{cli.ExitUsage, "--entries", []string{"experiment", "--entries", "0"}},
		{cli.ExitUsage, "--duration", []string{"experiment", "--duration", "0s"}},
		{cli.ExitFailure, "no such file", []string{"experiment", "--csv", filepath.Join(dir, "none", "x.csv")}},
	} {
		g := gomega.NewWithT(t)
		g.Expect(d.run(c.args...)).To(gomega.Equal(c.code), strings.Join(c.args, " "))
		g.Expect(d.errOut).To(gomega.ContainSubstring(c.says))
		g.Expect(d.errOut).NotTo(gomega.ContainSubstring("cause:"))
	}
}

// TestAnUndecidedChangeIsRepeatedByItsID takes the log down under an apply and
// repeats the change once the log is back.
func TestAnUndecidedChangeIsRepeatedByItsID(t *testing.T) {
	const id = "6f1c2a0e-96a5-4f6e-8a8e-0d6a3b1c2d3e"
	g := gomega.NewWithT(t)
	d := newDesk(t)
	g.Expect(d.run("init", d.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.run("apply", d.dir, "--id", "7")).To(gomega.Equal(cli.ExitUsage))
	g.Expect(d.run("apply", d.dir, "--dry-run")).To(gomega.Equal(cli.ExitOK))
	d.log.SetFaults(standin.Faults{Down: true})
	g.Expect(d.run("apply", d.dir, "--base", "0", "--id", id)).To(gomega.Equal(cli.ExitIndeterminate))
	g.Expect(d.errOut).To(gomega.ContainSubstring(id))
	g.Expect(d.errOut).To(gomega.ContainSubstring("--id " + id))
	d.log.SetFaults(standin.Faults{})
	g.Eventually(func() int { return d.run("apply", d.dir, "--base", "0", "--id", id) }, "30s").Should(gomega.Equal(cli.ExitOK))
	g.Expect(d.run("audit")).To(gomega.Equal(cli.ExitOK))
	g.Expect(strings.Count(d.out, "accepted")).To(gomega.Equal(1))
}

// TestKeyVerbsSayWhatIsLeftToDo applies a key's change at an entry that does
// not answer, and from a version that another operator has changed.
func TestKeyVerbsSayWhatIsLeftToDo(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(t)
	g.Expect(d.run("init", d.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.run("apply", d.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.run("key", "new", "example", "--dir", d.dir, "--apply", "--server", "http://127.0.0.1:1")).To(gomega.Equal(cli.ExitFailure))
	g.Expect(d.errOut).To(gomega.ContainSubstring("written to " + d.dir + ", but it is not known to be in force"))
	g.Expect(d.run("key", "withdraw", "example-1", "--dir", d.dir, "--apply", "--base", "0")).To(gomega.Equal(cli.ExitConflict))
	g.Expect(d.run("key", "withdraw", "example-1", "--dir", d.dir, "--apply", "--base", "1")).To(gomega.Equal(cli.ExitOK))
}

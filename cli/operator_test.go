package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/cli"
	"dandelionrelay/config"
	"dandelionrelay/membership"
	"dandelionrelay/quarantine"
	"dandelionrelay/settings"
	standin "dandelionrelay/standin/platform"
)

// desk is an operator's terminal before one entry.
type desk struct {
	t      *testing.T
	log    *standin.Log
	holder config.Holder
	held   *quarantine.Table
	dir    string
	out    string // of the last command
	errOut string
}

// tableOnly is the quarantine of a fleet of one entry.
type tableOnly struct{ *quarantine.Table }

func (t tableOnly) Held() []quarantine.CrashRecord { return t.Table.CrashRecords(time.Now()) }

func (t tableOnly) Lift(d quarantine.Digest) bool { return len(t.RecordSuccess(d, time.Now())) > 0 }

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, log: standin.NewLog(0, 1), held: quarantine.NewTable(), dir: filepath.Join(t.TempDir(), "config")}
	follower := config.NewFollower(d.log, &d.holder, nil, nil)
	go follower.Run(t.Context())
	var operators []settings.Operator
	for _, name := range []string{"ann", "bo"} {
		operators = append(operators, settings.Operator{Name: name, Digest: authn.Digest("token-" + name)})
	}
	server := httptest.NewServer(admin.NewHandler(admin.Options{
		Follower: follower, Source: &d.holder, Members: membership.Static{}, Operators: operators, Logger: zerolog.Nop(),
		Quarantine: tableOnly{d.held},
	}))
	t.Cleanup(server.Close)
	// The first server never answers; the second one does.
	t.Setenv("DANDELIONRELAY_SERVER", "http://127.0.0.1:1,"+server.URL)
	d.as("ann")
	return d
}

func (d *desk) as(operator string) { d.t.Setenv("DANDELIONRELAY_TOKEN", "token-"+operator) }

// run runs a command line and returns its exit code.
func (d *desk) run(args ...string) int {
	var out, errOut bytes.Buffer
	code := cli.Run(d.t.Context(), args, &out, &errOut)
	d.out, d.errOut = out.String(), errOut.String()
	d.t.Logf("$ %s\n%s%s[%d]", strings.Join(args, " "), d.out, d.errOut, code)
	return code
}

func TestOperatorStory(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(t)
	want := func(code int, args ...string) {
		t.Helper()
		g.Expect(d.run(args...)).To(gomega.Equal(code), strings.Join(args, " "))
	}

	want(cli.ExitOK, "init", d.dir)
	want(cli.ExitFailure, "init", d.dir)
	want(cli.ExitOK, "validate", d.dir)
	want(cli.ExitOK, "key", "new", "example", "--dir", d.dir)
	key := strings.TrimSpace(d.out)
	g.Expect(key).To(gomega.MatchRegexp(`^drk_[A-Za-z0-9_-]{43}$`))
	files, _ := config.ReadDir(d.dir)
	g.Expect(string(files["keys.json"])).NotTo(gomega.ContainSubstring(key))

	want(cli.ExitOK, "apply", d.dir, "--dry-run")
	g.Expect(d.holder.Current().Version).To(gomega.BeZero())
	want(cli.ExitOK, "apply", d.dir)
	g.Expect(d.out).To(gomega.ContainSubstring("+ customers/example"))
	g.Expect(d.holder.Current().Version).To(gomega.Equal(uint64(1)))
	id, _, ok := d.holder.Current().KeyByDigest(authn.Digest(key))
	g.Expect(ok).To(gomega.BeTrue())
	want(cli.ExitOK, "apply", d.dir)
	g.Expect(d.out).To(gomega.ContainSubstring("nothing to change"))

	// Another operator was first.
	d.as("bo")
	want(cli.ExitOK, "key", "new", "example", "--dir", d.dir, "--apply", "--json")
	var made struct{ Key string }
	g.Expect(json.Unmarshal([]byte(d.out), &made)).To(gomega.Succeed())
	d.as("ann")
	want(cli.ExitOK, "key", "withdraw", id, "--dir", d.dir)
	want(cli.ExitConflict, "apply", d.dir, "--base", "1")
	g.Expect(d.errOut).To(gomega.ContainSubstring("bo had changed that already; version 2 is in force"))
	want(cli.ExitOK, "apply", d.dir, "--base", "2", "--json")
	_, withdrawn, _ := d.holder.Current().KeyByDigest(authn.Digest(key))
	g.Expect(withdrawn.Withdrawn).To(gomega.BeTrue())

	// A withdrawn key does not come back, and every finding is told.
	g.Expect(config.SetKey(d.dir, id, config.Key{Customer: "example", Digest: authn.Digest(key)})).To(gomega.Succeed())
	want(cli.ExitFindings, "apply", d.dir)
	g.Expect(d.errOut).To(gomega.ContainSubstring("keys.json:"))
	g.Expect(d.errOut).To(gomega.ContainSubstring("cannot be put back"))
	g.Expect(os.WriteFile(filepath.Join(d.dir, "customers.json"), []byte(`{"customers":{"example":{"rate":-1,"burst":0}}}`), 0o644)).To(gomega.Succeed())
	want(cli.ExitFindings, "validate", d.dir)
	g.Expect(strings.Count(d.errOut, "customers.json:1")).To(gomega.Equal(2))

	want(cli.ExitOK, "audit", "--diff")
	g.Expect(d.out).To(gomega.MatchRegexp(`conflict\s+ann\s+base 1.*\(first: bo\)`))
	g.Expect(strings.Count(d.out, "accepted")).To(gomega.Equal(3))
	g.Expect(d.out).NotTo(gomega.ContainSubstring(authn.Digest(key)))
	want(cli.ExitOK, "status", "--json")
	want(cli.ExitOK, "state")
	g.Expect(d.out).NotTo(gomega.ContainSubstring(authn.Digest(key)))

	// Callers' keys are worth nothing here, and no token is refused too.
	t.Setenv("DANDELIONRELAY_TOKEN", made.Key)
	want(cli.ExitFailure, "status")
	g.Expect(d.errOut).To(gomega.ContainSubstring("token of an operator"))
	t.Setenv("DANDELIONRELAY_TOKEN", "")
	want(cli.ExitUsage, "status")
}

func TestEveryVerbHasAnExample(t *testing.T) {
	for _, verb := range []string{"init", "validate", "plan", "apply", "key new", "key withdraw", "audit", "status", "state", "token"} {
		g := gomega.NewWithT(t)
		d := &desk{t: t}
		d.run(append(strings.Fields(verb), "--help")...)
		g.Expect(d.out).To(gomega.ContainSubstring("Example: dandelionrelay "+verb), verb)
	}
}

// TestQuarantineIsShownAndLifted has two endpoints die of a request.
func TestQuarantineIsShownAndLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(t)
	digest := quarantine.DigestOf("garden", "/v1/chat/completions", []byte("{}"))
	for _, attempt := range []string{"a", "b"} {
		_, _ = d.held.RecordCrash(quarantine.Crash{
			Digest: digest, Customer: "garden", Attempt: attempt, Endpoint: "s" + attempt, Kind: api.CrashAlone,
		}, time.Now())
	}
	g.Expect(d.run("quarantine", "list")).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.out).To(gomega.MatchRegexp(digest.String() + ` +garden +quarantined +2 +2 `))
	g.Expect(d.run("quarantine", "lift", digest.String(), "--json")).To(gomega.Equal(cli.ExitOK))
	g.Expect(d.out).To(gomega.ContainSubstring(`"requests": []`))
	g.Expect(d.run("quarantine", "lift", digest.String())).To(gomega.Equal(cli.ExitFailure))
}

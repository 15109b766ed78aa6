package cli_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/cli"
	standin "dandelionrelay/standin/platform"
)

// TestEvacuate_IsNotEndedByApply starts an evacuation by command, applies files that do
// not mention it, and ends it by command. It guards against an apply that silently ends
// an evacuation, and against a verb that does not show it.
func TestEvacuate_IsNotEndedByApply(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCLIFixture(t)
	expectExit := func(code int, args ...string) {
		t.Helper()
		g.Expect(f.run(args...)).To(gomega.Equal(code), strings.Join(args, " "))
	}
	expectExit(cli.ExitOK, "init", f.dir)
	expectExit(cli.ExitOK, "apply", f.dir)
	expectExit(cli.ExitOK, "evacuate", "dc-1")
	g.Expect(f.stdout).To(gomega.ContainSubstring("dc-1 is evacuated: version 2 is in force"))
	g.Expect(f.stderr).To(gomega.ContainSubstring("no instance is known in a data centre named dc-1"))
	expectExit(cli.ExitOK, "evacuate", "dc-1")
	g.Expect(f.stdout).To(gomega.ContainSubstring("nothing to change, dc-1 is evacuated in version 2"))

	expectExit(cli.ExitOK, "plan", f.dir)
	g.Expect(f.stdout).To(gomega.ContainSubstring("0 changes to version 2"))
	expectExit(cli.ExitOK, "key", "new", "example", "--dir", f.dir, "--apply")
	g.Expect(f.holder.Current().State.Evacuations).To(gomega.HaveKey("dc-1"), "applying files must not end an evacuation")
	expectExit(cli.ExitConflict, "apply", f.dir, "--base", "1")
	g.Expect(f.holder.Current().State.Evacuations).To(gomega.HaveKey("dc-1"))

	expectExit(cli.ExitOK, "status")
	g.Expect(f.stdout).To(gomega.MatchRegexp(`evacuated +dc-1`))
	expectExit(cli.ExitOK, "state")
	g.Expect(f.stdout).To(gomega.MatchRegexp(`"evacuations": \{\s+"dc-1": true`))
	expectExit(cli.ExitOK, "evacuate", "--end", "dc-1", "--json")
	var reply struct {
		Version   uint64
		Evacuated bool
	}
	g.Expect(json.Unmarshal([]byte(f.stdout), &reply)).To(gomega.Succeed())
	g.Expect(reply.Version).To(gomega.Equal(uint64(4)))
	g.Expect(reply.Evacuated).To(gomega.BeFalse())
	g.Expect(f.holder.Current().State.Evacuations).To(gomega.BeEmpty())
	expectExit(cli.ExitOK, "audit", "--diff")
	g.Expect(f.stdout).To(gomega.ContainSubstring("set    evacuations/dc-1 true"))
	g.Expect(f.stdout).To(gomega.ContainSubstring("remove evacuations/dc-1"))
}

// TestEvacuate_RepeatsIndeterminateChangeByID starts an evacuation while the log is down
// and repeats it by its ID. It guards against an evacuation that is reported as in force
// before the log has it, and against one that a repetition starts again after its end.
func TestEvacuate_RepeatsIndeterminateChangeByID(t *testing.T) {
	const id = "6f1c2a0e-96a5-4f6e-8a8e-0d6a3b1c2d3e"
	g := gomega.NewWithT(t)
	f := newCLIFixture(t)
	g.Expect(f.run("init", f.dir)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("apply", f.dir)).To(gomega.Equal(cli.ExitOK))
	f.log.SetFaults(standin.Faults{Down: true})
	g.Expect(f.run("evacuate", "dc-1", "--id", id)).To(gomega.Equal(cli.ExitIndeterminate))
	g.Expect(f.stderr).To(gomega.ContainSubstring("dandelionrelay evacuate dc-1 --id " + id))
	g.Expect(f.run("evacuate", "--end", "dc-1")).To(gomega.Equal(cli.ExitIndeterminate), "the log may have an evacuation that this entry does not know")
	f.log.SetFaults(standin.Faults{})
	g.Eventually(func() int { return f.run("evacuate", "dc-1", "--id", id) }, "30s").Should(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("evacuate", "--end", "dc-1")).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.run("evacuate", "dc-1", "--id", id)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.holder.Current().State.Evacuations).To(gomega.BeEmpty(), "the change with this ID was made and ended before")
}

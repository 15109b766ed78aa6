package config_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

const goodDigest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

// TestLoadFiles_ReportsEveryFindingWithPosition violates each rule once. One call
// must report all findings, each with its file, line and pointer.
func TestLoadFiles_ReportsEveryFindingWithPosition(t *testing.T) {
	files := map[string][]byte{
		"a.json": []byte(`{
  "customers": {
    "north": {"rate": -1, "burst": 0.5, "wieght": 2},
    "south": {"rate": "fast", "burst": 1, "weight": -1}
  },
  "keys": {
    "k1": {"customer": "nobody", "digest": "` + goodDigest + `"},
    "k2": {"customer": "north", "digest": "` + goodDigest + `"},
    "k3": {"customer": "north", "digest": "ABC"}
  },
  "colours": {}
}`),
		"b.json": []byte(`{
  "customers": {
    "north": {"rate": 1, "burst": 1}
  },
  "deployments": {
    "m": {"kind": "model", "slots": 0, "first_token_ratio": 20},
    "p": {"kind": "plain", "slots": 1, "first_token_ratio": 1},
    "q": {"kind": "odd", "slots": 1, "Slots": 2}
  },
  "routes": {
    "r1": {"model": "x", "deployment": "gone"},
    "r2": {"model": "x", "deployment": "p"},
    "r3": {"path_prefix": "/a/", "deployment": "p", "timeout": "soon"},
    "r4": {"path_prefix": "/a", "deployment": "p", "customers": ["north", "east"]},
    "r5": {"path_prefix": "/v1/x", "deployment": "m", "model": "y"},
    "r6": {"path_prefix": "a/../b", "deployment": "p"},
    "r7": [],
    "r 8": {"path_prefix": "/z", "deployment": "p"}
  }
}`),
		"c.json": []byte("{\n\"keys\": {]\n}"),
	}
	_, findings := config.LoadFiles(files)
	want := []string{
		"a.json:3 /customers/north/burst must be 1 request or more",
		"a.json:3 /customers/north/rate must be more than 0",
		"a.json:3 /customers/north/wieght unknown field",
		"a.json:4 /customers/south/rate ",
		"a.json:4 /customers/south/weight must not be negative",
		"a.json:7 /keys/k1/customer customer \"nobody\" is not defined",
		"a.json:8 /keys/k2/digest same digest as key \"k1\"",
		"a.json:9 /keys/k3/digest must be the SHA-256 digest",
		"a.json:11 /colours unknown section",
		"b.json:3 /customers/north defined twice; first in a.json line 3",
		"b.json:6 /deployments/m/first_token_ratio must be between 0.8 and 10, is 20",
		"b.json:6 /deployments/m/model ",
		"b.json:6 /deployments/m/slots must be 1 or more",
		"b.json:7 /deployments/p/kind model, obeys_fencing, can_resume and first_token_ratio are",
		"b.json:8 /deployments/q/Slots unknown field",
		"b.json:8 /deployments/q/kind must be",
		"b.json:11 /routes/r1/deployment deployment \"gone\" is not defined",
		"b.json:12 /routes/r2/deployment a route by model needs a model deployment",
		"b.json:12 /routes/r2/model route \"r1\" has the same model",
		"b.json:13 /routes/r3/timeout ",
		"b.json:14 /routes/r4/path_prefix clashes with route \"r3\"",
		"b.json:14 /routes/r4/customers/1 customer \"east\" is not defined",
		"b.json:15 /routes/r5 needs either model or path_prefix",
		"b.json:15 /routes/r5/path_prefix /v1 is served by the system itself",
		"b.json:16 /routes/r6/path_prefix must be a clean absolute path",
		"b.json:17 /routes/r7 must be a JSON object",
		"b.json:18 /routes/r 8 the id must be",
		"c.json:2 not valid JSON",
	}
	g := gomega.NewWithT(t)
	for _, w := range want {
		g.Expect(hasFinding(findings, w)).To(gomega.BeTrue(), "no finding %q in:\n%s", w, formatFindings(findings))
	}
}

func hasFinding(findings []api.Finding, want string) bool {
	for _, f := range findings {
		if strings.HasPrefix(strings.Replace(f.String(), ": ", " ", 1), want) {
			return true
		}
	}
	return false
}

func formatFindings(findings []api.Finding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

//go:build review

// Command drive plays one case of the review against entries that run as separate
// processes: drive CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

// scenario plays a case; trouble says whether with the disruption.
type scenario func(cl *cluster, trouble bool) (verdict, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER")
		os.Exit(int(notRun))
	}
	os.Exit(int(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")))
}

func play(s scenario, folder string, trouble bool) verdict {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	cl, err := newCluster(r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	defer cl.close()
	v, err := s(cl, trouble)
	if err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	r.say("verdict: %s", [...]string{"the rule held", "the rule is broken"}[v])
	return v
}

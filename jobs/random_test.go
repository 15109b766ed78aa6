package jobs_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
	standin "dandelionrelay/standin/platform"
)

var seeds = flag.Int("seeds", 1, "number of seeds of each randomised run")

// fault is one kind of failure that a scenario injects.
type fault string

const (
	sidecarKilled  fault = "sidecar killed"
	ownerKilled    fault = "owner killed"
	twoOwners      fault = "two owners"
	responsesLost  fault = "responses lost"
	logDown        fault = "log down"
	shortRetention fault = "short retention"
	cancelRaces    fault = "cancel races"
)

var faults = []fault{sidecarKilled, ownerKilled, twoOwners, responsesLost, logDown, shortRetention, cancelRaces}

// TestService_RandomFaults runs jobs under each fault alone and under each pair. It
// guards against missing, duplicate and changing results, non-idempotent items that
// run twice, and items that run long after a cancel or an accepted result.
func TestService_RandomFaults(t *testing.T) {
	for i, a := range faults {
		for _, b := range faults[i:] {
			for seed := range *seeds {
				name := fmt.Sprintf("%s+%s/%d", a, b, seed)
				t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						newScenario(t, uint64(seed), a, b).run()
					})
				})
			}
		}
	}
}

// scenario is one randomised run.
type scenario struct {
	*testFleet
	rnd           *rand.Rand
	faults        map[fault]bool
	instanceCount int // entries and sidecars started so far; numbers them
	jobs          []*submittedJob
}

// submittedJob is a job whose submission was acknowledged.
type submittedJob struct {
	id          string
	prefix      string
	items       int
	atMostOnce  bool // its items are not idempotent
	cancelledAt time.Time
	status      string // response body of the status, as first read after the end of the job
	results     string // response body of the results, as first read after the end of the job
}

func newScenario(t *testing.T, seed uint64, with ...fault) *scenario {
	s := &scenario{faults: make(map[fault]bool), rnd: rand.New(rand.NewPCG(seed, 7))}
	for _, f := range with {
		s.faults[f] = true
	}
	retention := time.Duration(0)
	if s.faults[shortRetention] {
		retention = 4 * time.Minute
	}
	s.testFleet = newFleet(t, retention, seed)
	return s
}

func (s *scenario) run() {
	defer s.close()
	for range 3 {
		s.addEntry()
		s.addSidecar()
	}
	time.Sleep(time.Second)
	if s.faults[responsesLost] {
		s.log.SetFaults(standin.Faults{LoseAnswer: 0.3, Refuse: 0.2})
	}
	if s.faults[cancelRaces] {
		s.mu.Lock()
		s.extraRunTime = 30 * time.Second
		s.mu.Unlock()
	}
	if s.faults[shortRetention] {
		s.mu.Lock()
		s.extraRunTime = 30 * time.Second
		s.mu.Unlock()
	}
	s.submit("x", 60, false)
	if s.faults[ownerKilled] {
		s.replaceEntry() // right after the acknowledgement
	}
	s.submit("y", 24, true)
	if s.faults[cancelRaces] {
		for i := range 4 {
			s.submit(fmt.Sprintf("c%d", i), 20, i%2 == 0)
			s.cancelWhileRunning(s.jobs[len(s.jobs)-1])
		}
	}
	for range 6 {
		s.injectFaults()
	}
	s.clearFaults()
	for _, j := range s.jobs {
		s.checkJob(j)
	}
	s.checkStableReads()
}

// injectFaults injects one round of faults.
func (s *scenario) injectFaults() {
	time.Sleep(time.Duration(1+s.rnd.IntN(6)) * time.Second)
	if s.faults[sidecarKilled] {
		s.killSidecar(fmt.Sprintf("s%d", s.randomSidecar()))
		s.addSidecar()
	}
	if s.faults[ownerKilled] {
		s.replaceEntry()
	}
	if s.faults[twoOwners] {
		s.mu.Lock()
		s.splitView = !s.splitView
		s.mu.Unlock()
	}
	if s.faults[logDown] && s.rnd.IntN(3) == 0 {
		s.log.SetFaults(standin.Faults{Down: true})
		time.Sleep(s.outageLength())
		s.restoreLogFaults()
	}
}

// outageLength returns the length of a log outage. It is less than half of the
// retention, as records are renewed once they are older than half of it.
func (s *scenario) outageLength() time.Duration {
	longest := 3 * time.Minute
	if s.retention > 0 {
		longest = s.retention / 4
	}
	return longest/4 + time.Duration(s.rnd.Int64N(int64(longest*3/4)))
}

func (s *scenario) restoreLogFaults() {
	f := standin.Faults{}
	if s.faults[responsesLost] {
		f = standin.Faults{LoseAnswer: 0.3, Refuse: 0.2}
	}
	s.log.SetFaults(f)
}

func (s *scenario) clearFaults() {
	s.mu.Lock()
	s.splitView = false
	s.mu.Unlock()
	s.log.SetFaults(standin.Faults{})
}

func (s *scenario) addEntry() {
	s.instanceCount++
	s.startEntry(fmt.Sprintf("e%d", s.instanceCount))
}

func (s *scenario) addSidecar() {
	s.instanceCount++
	s.startSidecar(fmt.Sprintf("s%d", s.instanceCount), uint64(s.instanceCount), nil)
}

// randomSidecar returns the number of a running sidecar.
func (s *scenario) randomSidecar() int {
	for {
		n := 1 + s.rnd.IntN(s.instanceCount)
		s.mu.Lock()
		_, ok := s.sidecars[fmt.Sprintf("s%d", n)]
		s.mu.Unlock()
		if ok {
			return n
		}
	}
}

// replaceEntry starts an entry and kills another one.
func (s *scenario) replaceEntry() {
	entries := s.Entries()
	killed := entries[s.rnd.IntN(len(entries))]
	if s.rnd.IntN(2) == 0 {
		killed = s.ownerOf(s.jobs[s.rnd.IntN(len(s.jobs))])
	}
	s.addEntry()
	s.killEntry(killed.ID, time.Duration(s.rnd.IntN(5))*time.Second)
}

func (s *scenario) ownerOf(j *submittedJob) infra.Instance {
	var partition int
	if _, err := fmt.Sscanf(j.id, "batch-%02x-", &partition); err != nil {
		s.t.Fatal(err)
	}
	return membership.Rank(fmt.Sprintf("jobs/%02d", partition), s.Entries())[0]
}

// retryUntilOK repeats a request, each time at a random entry, until the status is
// 200.
func (s *scenario) retryUntilOK(method, path, contentType, key, body string) string {
	for range 200 {
		all := s.Entries()
		s.mu.Lock()
		e := s.entries[all[s.rnd.IntN(len(all))].ID]
		s.mu.Unlock()
		if e != nil {
			code, response := s.callAt(e, method, path, contentType, key, body)
			if code == http.StatusOK {
				return response
			}
			if code != http.StatusServiceUnavailable {
				s.t.Errorf("%s %s: %d %s", method, path, code, response)
			}
		}
		time.Sleep(time.Second)
	}
	s.t.Fatalf("%s %s: no status 200 in 200 attempts", method, path)
	return ""
}

func (s *scenario) submit(prefix string, items int, atMostOnce bool) {
	file := batchFile(prefix, items)
	if atMostOnce {
		file = strings.ReplaceAll(file, "/v1/chat/completions", "/pickup/confirm")
	}
	id := parseJob(s.t, s.retryUntilOK("POST", "/v1/batches", "application/jsonl", prefix, file)).ID
	again := parseJob(s.t, s.retryUntilOK("POST", "/v1/batches", "application/jsonl", prefix, file)).ID
	if again != id {
		s.t.Errorf("a resend of job %s created job %s", id, again)
	}
	s.jobs = append(s.jobs, &submittedJob{id: id, prefix: prefix, items: items, atMostOnce: atMostOnce})
}

// cancelWhileRunning cancels a job while its items run.
func (s *scenario) cancelWhileRunning(j *submittedJob) {
	time.Sleep(time.Duration(s.rnd.IntN(4000)) * time.Millisecond)
	s.retryUntilOK("POST", "/v1/batches/"+j.id+"/cancel", "", "", "")
	j.cancelledAt = time.Now()
}

// checkJob waits for the end of a job and checks its results and runs.
func (s *scenario) checkJob(j *submittedJob) {
	d := s.awaitJob(j.id, time.Hour)
	j.status = s.retryUntilOK("GET", "/v1/batches/"+j.id, "", "", "")
	j.results = s.retryUntilOK("GET", "/v1/batches/"+j.id+"/results", "", "", "")
	seen := make(map[string]bool)
	for line := range strings.Lines(j.results) {
		s.checkResultLine(j, line, seen)
	}
	if len(seen) != d.Counts.Completed+d.Counts.Failed {
		s.t.Errorf("job %s: %d results, counts %+v", j.id, len(seen), d.Counts)
	}
	if j.cancelledAt.IsZero() && len(seen) != j.items {
		s.t.Errorf("job %s: %d results of %d items", j.id, len(seen), j.items)
	}
	s.checkRuns(j)
}

func (s *scenario) checkResultLine(j *submittedJob, line string, seen map[string]bool) {
	var r struct {
		CustomID string `json:"custom_id"`
		Error    *struct{ Code string }
	}
	if err := json.Unmarshal([]byte(line), &r); err != nil {
		s.t.Fatalf("%v in %q", err, line)
	}
	if seen[r.CustomID] || !strings.HasPrefix(r.CustomID, j.prefix+"-") {
		s.t.Errorf("job %s: unexpected result of %s", j.id, r.CustomID)
	}
	seen[r.CustomID] = true
	if r.Error == nil {
		return
	}
	v, ran := s.runs.Load(r.CustomID)
	if j.atMostOnce && ran && !v.(*itemRuns).acceptedAt.IsZero() {
		s.t.Errorf("job %s: the accepted result of %s is lost: %s", j.id, r.CustomID, r.Error.Code)
	}
	endpointsCrashed := s.faults[sidecarKilled] && r.Error.Code == "crashed_endpoints"
	if !endpointsCrashed && !(j.atMostOnce && r.Error.Code == "unknown") {
		s.t.Errorf("job %s: %s ended with %s", j.id, r.CustomID, r.Error.Code)
	}
}

// Bounds on the reaction times of the fleet.
const (
	maxStartAfterCancel = 3 * time.Second  // from the acknowledgement of the cancel to the last start of an item
	maxRunAfterCancel   = 15 * time.Second // from the acknowledgement of the cancel to the end of the last run
	maxStartAfterAccept = 2 * time.Second  // from the acceptance of a result to the last start of its item
)

func (s *scenario) checkRuns(j *submittedJob) {
	for i := range j.items {
		id := fmt.Sprintf("%s-%d", j.prefix, i)
		v, ok := s.runs.Load(id)
		if !ok {
			continue
		}
		r := v.(*itemRuns)
		r.mu.Lock()
		s.checkRun(j, id, r)
		r.mu.Unlock()
	}
}

func (s *scenario) checkRun(j *submittedJob, id string, r *itemRuns) {
	if j.atMostOnce && r.count > 1 {
		s.t.Errorf("%s is not idempotent and ran %d times", id, r.count)
	}
	if !j.cancelledAt.IsZero() && r.lastStart.After(j.cancelledAt.Add(maxStartAfterCancel)) {
		s.t.Errorf("%s started %s after its cancel", id, r.lastStart.Sub(j.cancelledAt))
	}
	// An owner that takes over while the log is down replays the cancel only
	// after the outage.
	replayedInTime := !s.faults[logDown] || !s.faults[ownerKilled]
	if replayedInTime && !j.cancelledAt.IsZero() && r.lastEnd.After(j.cancelledAt.Add(maxRunAfterCancel)) {
		s.t.Errorf("%s still ran %s after its cancel", id, r.lastEnd.Sub(j.cancelledAt))
	}
	if !s.faults[logDown] && !r.acceptedAt.IsZero() && r.lastStart.After(r.acceptedAt.Add(maxStartAfterAccept)) {
		s.t.Errorf("%s started %s after its result was accepted", id, r.lastStart.Sub(r.acceptedAt))
	}
}

// checkStableReads replaces every entry, waits for longer than the retention of the
// log, if that is limited, and checks that the status and the results of each job
// are byte for byte the same.
func (s *scenario) checkStableReads() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.sidecars))
	s.mu.Unlock()
	for _, id := range ids {
		s.killSidecar(id)
	}
	if s.retention > 0 {
		time.Sleep(3 * s.retention)
	}
	old := s.Entries()
	s.addEntry()
	s.addEntry()
	for _, e := range old {
		s.killEntry(e.ID, time.Second)
	}
	if s.retention > 0 {
		time.Sleep(2 * s.retention)
	}
	for _, j := range s.jobs {
		status := s.retryUntilOK("GET", "/v1/batches/"+j.id, "", "", "")
		if status != j.status {
			s.t.Errorf("job %s: status differs: %s %s", j.id, j.status, status)
		}
		again := s.retryUntilOK("GET", "/v1/batches/"+j.id+"/results", "", "", "")
		if again != j.results {
			s.t.Errorf("job %s: results differ:\n%s\n%s", j.id, j.results, again)
		}
	}
}

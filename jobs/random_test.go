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

// fault is one kind of failure that a run injects.
type fault string

const (
	sidecarKilled  fault = "sidecar killed"
	ownerKilled    fault = "owner killed"
	twoOwners      fault = "two owners"
	answersLost    fault = "answers lost"
	logDown        fault = "log down"
	shortRetention fault = "short retention"
	cancelRaces    fault = "cancel races"
)

var faults = []fault{sidecarKilled, ownerKilled, twoOwners, answersLost, logDown, shortRetention, cancelRaces}

// TestRandomFaults runs jobs under each fault alone and under each pair.
func TestRandomFaults(t *testing.T) {
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
	*fleet
	rnd     *rand.Rand
	faults  map[fault]bool
	started int // entries and sidecars so far, for their names
	jobs    []*submitted
}

// submitted is a job that was acknowledged.
type submitted struct {
	id        string
	prefix    string
	items     int
	once      bool // its items are not idempotent
	cancelled time.Time
	status    string // as first read after its end
	results   string
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
	s.fleet = newFleet(t, retention, seed)
	return s
}

func (s *scenario) run() {
	defer s.close()
	for range 3 {
		s.newEntry()
		s.newSidecar()
	}
	time.Sleep(time.Second)
	if s.faults[answersLost] {
		s.log.SetFaults(standin.Faults{LoseAnswer: 0.3, Refuse: 0.2})
	}
	if s.faults[cancelRaces] {
		s.mu.Lock()
		s.slow = 30 * time.Second
		s.mu.Unlock()
	}
	if s.faults[shortRetention] {
		s.mu.Lock()
		s.slow = 30 * time.Second
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
			s.cancelSoon(s.jobs[len(s.jobs)-1])
		}
	}
	for range 6 {
		s.step()
	}
	s.heal()
	for _, j := range s.jobs {
		s.finish(j)
	}
	s.readAgain()
}

// step injects one round of faults.
func (s *scenario) step() {
	time.Sleep(time.Duration(1+s.rnd.IntN(6)) * time.Second)
	if s.faults[sidecarKilled] {
		s.killSidecar(fmt.Sprintf("s%d", s.anySidecar()))
		s.newSidecar()
	}
	if s.faults[ownerKilled] {
		s.replaceEntry()
	}
	if s.faults[twoOwners] {
		s.mu.Lock()
		s.split = !s.split
		s.mu.Unlock()
	}
	if s.faults[logDown] && s.rnd.IntN(3) == 0 {
		s.log.SetFaults(standin.Faults{Down: true})
		time.Sleep(s.outage())
		s.setFaults()
	}
}

// outage returns the length of a log outage. The log may be down for less
// than half of its retention.
func (s *scenario) outage() time.Duration {
	longest := 3 * time.Minute
	if s.retention > 0 {
		longest = s.retention / 4
	}
	return longest/4 + time.Duration(s.rnd.Int64N(int64(longest*3/4)))
}

func (s *scenario) setFaults() {
	f := standin.Faults{}
	if s.faults[answersLost] {
		f = standin.Faults{LoseAnswer: 0.3, Refuse: 0.2}
	}
	s.log.SetFaults(f)
}

func (s *scenario) heal() {
	s.mu.Lock()
	s.split = false
	s.mu.Unlock()
	s.log.SetFaults(standin.Faults{})
}

func (s *scenario) newEntry() {
	s.started++
	s.start(fmt.Sprintf("e%d", s.started))
}

func (s *scenario) newSidecar() {
	s.started++
	s.startSidecar(fmt.Sprintf("s%d", s.started), uint64(s.started), nil)
}

// anySidecar returns the number of a running sidecar.
func (s *scenario) anySidecar() int {
	for {
		n := 1 + s.rnd.IntN(s.started)
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
	victims := s.Entries()
	victim := victims[s.rnd.IntN(len(victims))]
	if s.rnd.IntN(2) == 0 {
		victim = s.ownerOf(s.jobs[s.rnd.IntN(len(s.jobs))])
	}
	s.newEntry()
	s.kill(victim.ID, time.Duration(s.rnd.IntN(5))*time.Second)
}

func (s *scenario) ownerOf(j *submitted) infra.Instance {
	var partition int
	if _, err := fmt.Sscanf(j.id, "batch-%02x-", &partition); err != nil {
		s.t.Fatal(err)
	}
	return membership.Rank(fmt.Sprintf("jobs/%02d", partition), s.Entries())[0]
}

// insist repeats a request through any entry until it is answered with 200.
func (s *scenario) insist(method, path, contentType, key, body string) string {
	for range 200 {
		all := s.Entries()
		s.mu.Lock()
		e := s.entries[all[s.rnd.IntN(len(all))].ID]
		s.mu.Unlock()
		if e != nil {
			code, answer := s.callAt(e, method, path, contentType, key, body)
			if code == http.StatusOK {
				return answer
			}
			if code != http.StatusServiceUnavailable {
				s.t.Errorf("%s %s: %d %s", method, path, code, answer)
			}
		}
		time.Sleep(time.Second)
	}
	s.t.Fatalf("%s %s is refused for ever", method, path)
	return ""
}

func (s *scenario) submit(prefix string, items int, once bool) {
	file := lines(prefix, items)
	if once {
		file = strings.ReplaceAll(file, "/v1/chat/completions", "/pickup/confirm")
	}
	id := parse(s.t, s.insist("POST", "/v1/batches", "application/jsonl", prefix, file)).ID
	again := parse(s.t, s.insist("POST", "/v1/batches", "application/jsonl", prefix, file)).ID
	if again != id {
		s.t.Errorf("a resend of job %s made job %s", id, again)
	}
	s.jobs = append(s.jobs, &submitted{id: id, prefix: prefix, items: items, once: once})
}

// cancelSoon cancels a job while its items run.
func (s *scenario) cancelSoon(j *submitted) {
	time.Sleep(time.Duration(s.rnd.IntN(4000)) * time.Millisecond)
	s.insist("POST", "/v1/batches/"+j.id+"/cancel", "", "", "")
	j.cancelled = time.Now()
}

// finish waits for the end of a job and checks its results.
func (s *scenario) finish(j *submitted) {
	d := s.await(j.id, time.Hour)
	j.status = s.insist("GET", "/v1/batches/"+j.id, "", "", "")
	j.results = s.insist("GET", "/v1/batches/"+j.id+"/results", "", "", "")
	seen := make(map[string]bool)
	for line := range strings.Lines(j.results) {
		s.checkLine(j, line, seen)
	}
	if len(seen) != d.Counts.Completed+d.Counts.Failed {
		s.t.Errorf("job %s: %d results, counts %+v", j.id, len(seen), d.Counts)
	}
	if j.cancelled.IsZero() && len(seen) != j.items {
		s.t.Errorf("job %s: %d results of %d items", j.id, len(seen), j.items)
	}
	s.checkRuns(j)
}

func (s *scenario) checkLine(j *submitted, line string, seen map[string]bool) {
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
	if j.once && ran && !v.(*runs).accepted.IsZero() {
		s.t.Errorf("job %s: the accepted result of %s is lost: %s", j.id, r.CustomID, r.Error.Code)
	}
	lost := s.faults[sidecarKilled] && r.Error.Code == "crashed_endpoints"
	if !lost && !(j.once && r.Error.Code == "unknown") {
		s.t.Errorf("job %s: %s ended with %s", j.id, r.CustomID, r.Error.Code)
	}
}

// Bounds in which a fleet reacts.
const (
	startSlack = 3 * time.Second  // an item may start after the cancel was acknowledged
	runSlack   = 15 * time.Second // an item may run on after that
	doneSlack  = 2 * time.Second  // an item may start after its result was accepted
)

func (s *scenario) checkRuns(j *submitted) {
	for i := range j.items {
		id := fmt.Sprintf("%s-%d", j.prefix, i)
		v, ok := s.runs.Load(id)
		if !ok {
			continue
		}
		r := v.(*runs)
		r.mu.Lock()
		s.checkRun(j, id, r)
		r.mu.Unlock()
	}
}

func (s *scenario) checkRun(j *submitted, id string, r *runs) {
	if j.once && r.n > 1 {
		s.t.Errorf("%s is not idempotent and ran %d times", id, r.n)
	}
	if !j.cancelled.IsZero() && r.last.After(j.cancelled.Add(startSlack)) {
		s.t.Errorf("%s started %s after its cancel", id, r.last.Sub(j.cancelled))
	}
	// An owner that takes over while the log is down learns of the cancel
	// later.
	reachable := !s.faults[logDown] || !s.faults[ownerKilled]
	if reachable && !j.cancelled.IsZero() && r.until.After(j.cancelled.Add(runSlack)) {
		s.t.Errorf("%s ran on %s after its cancel", id, r.until.Sub(j.cancelled))
	}
	if !s.faults[logDown] && !r.accepted.IsZero() && r.last.After(r.accepted.Add(doneSlack)) {
		s.t.Errorf("%s started %s after its result was accepted", id, r.last.Sub(r.accepted))
	}
}

// readAgain replaces every entry, outlives the retention, and reads the same
// bytes.
func (s *scenario) readAgain() {
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
	s.newEntry()
	s.newEntry()
	for _, e := range old {
		s.kill(e.ID, time.Second)
	}
	if s.retention > 0 {
		time.Sleep(2 * s.retention)
	}
	for _, j := range s.jobs {
		status := s.insist("GET", "/v1/batches/"+j.id, "", "", "")
		if status != j.status {
			s.t.Errorf("job %s: status differs: %s %s", j.id, j.status, status)
		}
		again := s.insist("GET", "/v1/batches/"+j.id+"/results", "", "", "")
		if again != j.results {
			s.t.Errorf("job %s: results differ:\n%s\n%s", j.id, j.results, again)
		}
	}
}

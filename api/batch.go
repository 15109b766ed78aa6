package api

import "time"

// WorkRef identifies one attempt at one item of a batch job.
type WorkRef struct {
	Job     string
	Item    int // index of the item in its job, from 0
	Attempt string
	// CustomID is the caller's name of the item; its result carries it.
	CustomID string
}

// Work is one batch item handed to a sidecar.
type Work struct {
	WorkRef
	Customer   string
	Weight     float64 // fair share weight of the customer
	Deployment string
	Path       string // URL path of the call at the endpoint
	Body       []byte
	Idempotent bool
	Suspect    bool      // an endpoint died with it running: it runs alone
	Due        time.Time // completion is wanted by then
	Resume     *Resume   // where an earlier attempt was cut, if it was
}

// Digest identifies the content of a request; see package quarantine.
type Digest [16]byte

// PullArgs asks a job owner for work; the call waits up to Wait for some.
type PullArgs struct {
	Endpoint   string // instance id of the sidecar
	Deployment string
	Slots      int // the most items wanted
	Wait       time.Duration
}

// PullReply hands out work.
type PullReply struct{ Work []Work }

// ResultState says how an attempt at an item ended.
type ResultState string

// The ends of an attempt.
const (
	ResultDone     ResultState = "done"     // the endpoint answered; see Status
	ResultReturned ResultState = "returned" // preempted or drained; run it again, from Resume if set
	ResultNotRun   ResultState = "not_run"  // never started at the endpoint
	ResultUnknown  ResultState = "unknown"  // it may have run; the endpoint was lost
)

// Result is the end of one attempt.
type Result struct {
	WorkRef
	State  ResultState
	Digest Digest // of the item's content, if an endpoint has died of it; else zero
	Crash  Crash  // with ResultUnknown: how the endpoint crashed, if it did
	Status int    // HTTP status of the endpoint, with ResultDone
	Body   []byte
	Resume *Resume
}

// ReportArgs hands results to a job owner and says what still runs.
type ReportArgs struct {
	Endpoint string
	Results  []Result
	// Running is the heartbeat: work that runs here, and work that ended
	// whose result no owner has accepted yet. What it does not name for long
	// is handed out again.
	Running []WorkRef
}

// ReportReply says which running work is to be stopped, as its job was
// cancelled or the item is already complete.
type ReportReply struct{ Stop []WorkRef }

// Names of the RPC methods of the job service.
const (
	MethodPull   = "Jobs.Pull"
	MethodReport = "Jobs.Report"
)

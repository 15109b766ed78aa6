package api

import "time"

// WorkRef identifies one attempt at one item of a batch job.
type WorkRef struct {
	Job     string
	Item    int // index of the item in its job, from 0
	Attempt string
	// CustomID is the ID that the caller gave the item; its result has it too.
	CustomID string
}

// Work is one batch item assigned to a sidecar.
type Work struct {
	WorkRef
	Customer   string
	Weight     float64 // fair share weight of the customer
	Deployment string
	Path       string // URL path of the call at the endpoint
	Body       []byte
	Idempotent bool
	Suspect    bool      // an endpoint crashed running it, or quarantine suspects it: it runs alone
	Due        time.Time // time by which it should be completed
	Resume     *Resume   // where an earlier attempt was interrupted; nil: from the start
}

// Digest identifies the content of a request; see package quarantine.
type Digest [16]byte

// PullArgs asks an entry for items of the partitions that it owns. The call waits
// for up to Wait until there is one.
type PullArgs struct {
	Endpoint   string // instance ID of the sidecar
	Deployment string
	DataCentre string // of the endpoint
	Slots      int    // maximum number of items
	Wait       time.Duration
}

// PullReply holds the assigned items.
type PullReply struct{ Work []Work }

// ResultState says how an attempt at an item ended.
type ResultState string

// The states in which an attempt ends.
const (
	ResultDone     ResultState = "done"     // the endpoint responded; see Status
	ResultReturned ResultState = "returned" // preempted, or the endpoint drains; to be run again, from Resume if set
	ResultNotRun   ResultState = "not_run"  // it certainly did not start at the endpoint
	ResultUnknown  ResultState = "unknown"  // it may have run; the endpoint or the connection to it was lost
)

// Result is the end of one attempt.
type Result struct {
	WorkRef
	State  ResultState
	Digest Digest  // of the item's content, if an endpoint crashed running it; else zero
	Crash  Crash   // with ResultUnknown: how the endpoint crashed, if it did
	Status int     // HTTP status of the endpoint's response, with ResultDone
	Body   []byte  // body of that response
	Resume *Resume // with ResultReturned: where to continue; nil: from the start
}

// ReportArgs reports results, and the attempts that still run, to an entry that
// owns their partitions.
type ReportArgs struct {
	Endpoint   string
	DataCentre string // of the endpoint
	Results    []Result
	// Running is the heartbeat: the attempts that run at the endpoint, and those
	// that ended and whose results no owner has accepted yet. An attempt that no
	// heartbeat names for jobs.AttemptTimeout counts as lost: its item is run
	// again unless it has crashed too many endpoints, or ends as unknown if it is
	// not idempotent.
	Running []WorkRef
}

// ReportReply names the running attempts to be stopped, because their job has
// ended or was deleted, their item is complete, another attempt replaced them or the data
// centre of the endpoint is evacuated.
type ReportReply struct{ Stop []WorkRef }

// Names of the RPC methods of the job service.
const (
	MethodPull   = "Jobs.Pull"
	MethodReport = "Jobs.Report"
)

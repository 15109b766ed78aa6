// Package jobs runs batch jobs. The items and results of a job live in one of
// the streams "jobs/NN" of the platform's log, and the offset order of that
// stream is the only truth: each instance that replays a stream reaches the
// same verdict.
//
// A file of items becomes chunk records and a file record; a job is one
// commit record that names the file. The owner of a stream, an entry, replays
// it in a Table, hands items to sidecars that pull, and appends what they
// report, many facts to a record. Two owners at once waste work and break
// nothing: the first completion of an item in offset order is its result, and
// a cancel before it wins by the same order.
package jobs

import (
	"fmt"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Partitions is the number of streams over which jobs are spread. It is part
// of every job's id and never changes.
const Partitions = 64

// Sizes, all in bytes unless they count something.
const (
	MaxItems       = 200_000   // items in one job
	MaxItemBytes   = 512 << 10 // one line of an input file
	MaxFileBytes   = 1 << 30   // one input file
	MaxResultBytes = 1 << 20   // body of one result
	MaxFindings    = 100       // faults of one file that are named
	MaxCustomID    = 256       // custom_id of an item
	ChunkBytes     = 512 << 10 // bodies in one chunk record
	ChunkItems     = 2_000     // items in one chunk record
	GroupBytes     = 1 << 20   // result bodies in one group record
	PullBytes      = 2 << 20   // bodies in one answer to a pull
	ReportBytes    = 2 << 20   // bodies in one report
	PendingBytes   = 8 << 20   // result bodies that wait for the log in one partition
	CacheBytes     = 8 << 20   // log records with results kept by one instance
	ItemCacheBytes = 16 << 20  // items to hand out kept by one instance
	ResumeBytes    = 4 << 20   // resume positions kept by one partition
)

// Times and rates of the job service.
const (
	// CommitInterval is the least time between two group appends to one
	// stream: Partitions/CommitInterval bounds the fleet, however many
	// instances there are.
	CommitInterval = 500 * time.Millisecond
	// ChunkAppendsPerSecond is the number of chunk appends a second for the fleet.
	ChunkAppendsPerSecond = 100
	// ChunkAppendBurst is the number of chunk appends that the fleet may make at
	// once.
	ChunkAppendBurst = 12
	// HeartbeatInterval is how often a sidecar names its running items to
	// their owner.
	HeartbeatInterval = 5 * time.Second
	// AttemptTimeout is the silence after which an attempt counts as lost.
	AttemptTimeout = 4 * HeartbeatInterval
	// TakeoverGrace is how long a new owner waits for heartbeats before it
	// hands out work.
	TakeoverGrace = HeartbeatInterval + 2*time.Second
	// ReportTimeout bounds the time that a report waits for the log.
	ReportTimeout = 5 * time.Second
	// RetryDelay is the pause before a failed item is handed out again.
	RetryDelay = time.Second
	// ExpireAfterDue is how long past its due time a job is still worked on.
	ExpireAfterDue = 24 * time.Hour
	// DefaultWindow is the completion window of a job that names none.
	DefaultWindow = 24 * time.Hour
	// DefaultResultRetention is how long after its due time a job is kept.
	DefaultResultRetention = 48 * time.Hour
	// UploadRetention is how long chunks without a file record are remembered.
	UploadRetention = time.Hour
)

// MaxAttempts is the number of server errors and broken connections after which
// an item fails. What it takes to blame it for the loss of endpoints is
// quarantine's to say.
const MaxAttempts = 5

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("jobs")

// Errors of the job service.
var (
	NotDurable = Errors.NewType("not_durable", errorx.Temporary()) // the log did not confirm in time
	NotReady   = Errors.NewType("not_ready", errorx.Temporary())   // the partition is not replayed yet
	BadRecord  = Errors.NewType("bad_record")
)

// streamName returns the name of the log stream of a partition.
func streamName(partition int) string {
	return fmt.Sprintf("jobs/%02d", partition)
}

// partitionOf returns the partition in an id made by newID.
func partitionOf(prefix, id string) (int, bool) {
	if len(id) < len(prefix)+3 || id[:len(prefix)] != prefix {
		return 0, false
	}
	n, err := strconv.ParseUint(id[len(prefix):len(prefix)+2], 16, 8)
	if err != nil || n >= Partitions || id[len(prefix)+2] != '-' {
		return 0, false
	}
	return int(n), true
}

// newID returns an id that carries its partition.
func newID(prefix string, partition int, digest string) string {
	return fmt.Sprintf("%s%02x-%s", prefix, partition, digest)
}

// Prefixes of ids.
const (
	jobPrefix  = "batch-"
	filePrefix = "file-"
)

// Package jobs runs batch jobs. The items and results of a job are stored in
// one of the streams "jobs/NN" of the platform's log, one stream for each
// partition. The order of offsets in that stream alone determines the state:
// every instance that replays a stream arrives at the same state.
//
// An input file is stored as chunk records and a file record; a job is one
// commit record that names the file. The owner of a partition is the entry that
// ranks first for its stream. It replays the stream into a Table, assigns items
// to the sidecars that pull, and appends what they report as facts, many to a
// record. Two owners at once waste work but do not break consistency: the
// completion of an item with the lowest offset is its result, and a cancel that
// precedes a completion prevails by the same order.
//
// Records that are still needed are renewed, that is appended again, before the
// retention of the log removes them.
package jobs

import (
	"fmt"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Partitions is the number of streams over which jobs are spread. It is part of
// every job's ID and must never change.
const Partitions = 64

// Limits of the job service. MaxItems, MaxFindings and ChunkItems are counts;
// the others are sizes in bytes.
const (
	MaxItems       = 200_000   // items in one job
	MaxItemBytes   = 512 << 10 // one line of an input file
	MaxFileBytes   = 1 << 30   // one input file
	MaxResultBytes = 1 << 20   // body of one result
	MaxFindings    = 100       // findings reported for one file
	MaxCustomID    = 256       // custom_id of an item
	ChunkBytes     = 512 << 10 // item bodies in one chunk record
	ChunkItems     = 2_000     // items in one chunk record
	GroupBytes     = 1 << 20   // result bodies in one group record
	PullBytes      = 2 << 20   // item bodies in one reply to a pull
	ReportBytes    = 2 << 20   // result bodies in one report
	PendingBytes   = 8 << 20   // result bodies of one partition that are not yet in the log
	CacheBytes     = 8 << 20   // log records with results, cached by one instance
	ItemCacheBytes = 16 << 20  // items to be assigned, cached by one instance
	ResumeBytes    = 4 << 20   // partial outputs kept by one partition to resume items that were returned (preempted or drained)
)

// Times and rates of the job service.
const (
	// CommitInterval is the minimum time between two group appends to one
	// stream. Partitions/CommitInterval thus bounds the group appends of the
	// fleet, whatever the number of instances.
	CommitInterval = 500 * time.Millisecond
	// ChunkAppendsPerSecond is the number of chunk appends a second that the
	// whole fleet may make.
	ChunkAppendsPerSecond = 100
	// ChunkAppendBurst is the number of chunk appends that the whole fleet may
	// make at once.
	ChunkAppendBurst = 12
	// HeartbeatInterval is the longest time that owners expect between two
	// heartbeats of a sidecar, on which the timeouts below are based. Sidecars
	// send heartbeats more often. A heartbeat names the attempts that run at the
	// sidecar's endpoint to the owners of their jobs.
	HeartbeatInterval = 5 * time.Second
	// AttemptTimeout is the time without a heartbeat after which an attempt
	// counts as lost.
	AttemptTimeout = 4 * HeartbeatInterval
	// TakeoverGrace is the time for which a new owner collects heartbeats
	// before it assigns items.
	TakeoverGrace = HeartbeatInterval + 2*time.Second
	// ReportTimeout bounds the time that a report waits for the log.
	ReportTimeout = 5 * time.Second
	// RetryDelay is the base delay before an item is assigned again. It doubles
	// with each failed attempt that counts towards MaxAttempts.
	RetryDelay = time.Second
	// ExpireAfterDue is the time after its due time at which an unfinished job
	// expires.
	ExpireAfterDue = 24 * time.Hour
	// DefaultWindow is the completion window of a job that names none.
	DefaultWindow = 24 * time.Hour
	// DefaultResultRetention is the time for which a job and its results are
	// kept, counted from its expiry time (its due time plus ExpireAfterDue).
	DefaultResultRetention = 48 * time.Hour
	// UploadRetention is the time for which chunks without a file record, and
	// facts about a job without a job record, are kept.
	UploadRetention = time.Hour
)

// MaxAttempts is the number of responses with status 429 or 5xx and of broken
// connections after which an item fails. Package quarantine decides after how
// many crashes of endpoints an item fails.
const MaxAttempts = 5

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("jobs")

// Errors of the job service.
var (
	NotDurable = Errors.NewType("not_durable", errorx.Temporary()) // the log did not confirm an append, or the replay did not catch up, in time, or too many facts of the partition wait for the log
	NotReady   = Errors.NewType("not_ready", errorx.Temporary())   // Service.Run is not running, or too many partitions are replayed here
	BadRecord  = Errors.NewType("bad_record")                      // a record of the log is missing or can't be decoded
)

// streamName returns the name of the log stream of a partition.
func streamName(partition int) string {
	return fmt.Sprintf("jobs/%02d", partition)
}

// partitionOf returns the partition in an ID made by newID.
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

// newID returns an ID that encodes its partition.
func newID(prefix string, partition int, digest string) string {
	return fmt.Sprintf("%s%02x-%s", prefix, partition, digest)
}

// Prefixes of IDs.
const (
	jobPrefix  = "batch-"
	filePrefix = "file-"
)

package jobs

import (
	"slices"
	"strings"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// Table is the state of one partition, built by replaying its stream. It is not
// safe for concurrent use and starts no goroutines.
//
// File and job records and facts carry the offset at which they were first
// stored (0: that of this record). Of several about the same thing the Table
// keeps the one with the lowest offset, with these exceptions: failure counts
// merge by maximum, releases are collected, and the copies of a chunk are
// identical. So a renewed copy never replaces an older record, and a Table whose
// replay starts in the middle of the stream arrives at the same state.
type Table struct {
	inv           *invariant.Set
	next          infra.Offset // lowest offset not applied
	replayed      bool         // replayed to the end, so that the state may be read
	uploads       map[string]*upload
	files         map[string]*file
	jobs          map[string]*job
	jobsVersion   int // incremented when the set of jobs may have changed
	timeMarks     []timeMark
	recordOffsets map[string]infra.Offset // of recent records, by record ID
	// onCompleted is called for each completion of an item that had none.
	onCompleted func(j *job, failed bool)
	recentIDs   []string // keys of recordOffsets, oldest first
}

// timeMark is the time at which the record at an offset was stored.
type timeMark struct {
	offset infra.Offset
	time   time.Time
}

// upload holds the chunks of one uploaded file.
type upload struct {
	firstSeen time.Time // time of the first record about it
	sealed    bool      // its file record is known
	chunks    map[int]*chunk
}

// chunk locates some items of an upload.
type chunk struct {
	copyOffset infra.Offset // of its latest copy
	firstItem  int
	count      int
	targets    []uint8 // index of the target of each item; nil: all 0
}

// file is an upload with its file record.
type file struct {
	fileRecord
	copyOffset infra.Offset // of the latest copy of its record
	upload     *upload
}

// maxRecentIDs is the largest number of recent record IDs that a Table keeps.
const maxRecentIDs = 512

// timeMarkInterval is the resolution at which the times of records are kept.
const timeMarkInterval = time.Second

// NewTable returns an empty Table that reports invariant violations to inv.
func NewTable(inv *invariant.Set) *Table {
	return &Table{
		inv:           inv,
		onCompleted:   func(*job, bool) {},
		next:          1,
		uploads:       make(map[string]*upload),
		files:         make(map[string]*file),
		jobs:          make(map[string]*job),
		recordOffsets: make(map[string]infra.Offset),
	}
}

// Next returns the offset of the next record to be applied.
func (t *Table) Next() infra.Offset { return t.next }

// SetNext sets the offset of the first record to be applied.
func (t *Table) SetNext(from infra.Offset) { t.next = from }

// MarkReplayed declares that the stream has been replayed to its end, so that
// the state may be read. From then on changes of a completed item are invariant
// violations.
func (t *Table) MarkReplayed() { t.replayed = true }

// Apply applies one record. Records must come in offset order; one that was
// applied before is ignored. Apply returns an error if the record can't be
// decoded.
func (t *Table) Apply(r infra.Record) error {
	if r.Offset < t.next {
		return nil
	}
	t.next = r.Offset + 1
	t.recordSeen(r)
	h, _, err := decodeRecord(r.Data)
	if err != nil {
		return err
	}
	if h.Chunk != nil {
		t.applyChunk(r, h.Chunk)
	}
	if h.File != nil {
		t.applyFile(r, h.File)
	}
	if h.Job != nil {
		t.applyJob(r, h.Job)
	}
	for i := range h.Facts {
		t.applyFact(r, i, &h.Facts[i])
	}
	return nil
}

// RecordOffset returns the offset of the record with an ID, if it is one of the
// last maxRecentIDs.
func (t *Table) RecordOffset(id string) (infra.Offset, bool) {
	o, ok := t.recordOffsets[id]
	return o, ok
}

// recordSeen records the time and the ID of a record.
func (t *Table) recordSeen(r infra.Record) {
	if n := len(t.timeMarks); n == 0 || r.Time.Sub(t.timeMarks[n-1].time) >= timeMarkInterval {
		t.timeMarks = append(t.timeMarks, timeMark{r.Offset, r.Time})
	}
	if _, ok := t.recordOffsets[r.ID]; ok {
		return
	}
	t.recordOffsets[r.ID] = r.Offset
	t.recentIDs = append(t.recentIDs, r.ID)
	if len(t.recentIDs) > maxRecentIDs {
		delete(t.recordOffsets, t.recentIDs[0])
		t.recentIDs = t.recentIDs[1:]
	}
}

// storedBefore returns an offset such that every record below it was stored
// before limit.
func (t *Table) storedBefore(limit time.Time) infra.Offset {
	var o infra.Offset
	drop := 0
	for i, m := range t.timeMarks {
		if !m.time.Before(limit) {
			break
		}
		o = m.offset + 1
		drop = i
	}
	t.timeMarks = t.timeMarks[drop:]
	return o
}

func (t *Table) applyChunk(r infra.Record, c *chunkHeader) {
	u := t.upload(c.Upload, r)
	if known, ok := u.chunks[c.Seq]; ok {
		known.copyOffset = r.Offset
		return
	}
	fresh := &chunk{copyOffset: r.Offset, firstItem: c.First, count: len(c.Items)}
	for i := range c.Items {
		if c.Items[i].Target == 0 {
			continue
		}
		if fresh.targets == nil {
			fresh.targets = make([]uint8, len(c.Items))
		}
		fresh.targets[i] = uint8(c.Items[i].Target)
	}
	u.chunks[c.Seq] = fresh
}

func (t *Table) upload(id string, r infra.Record) *upload {
	u, ok := t.uploads[id]
	if !ok {
		u = &upload{firstSeen: r.Time, chunks: make(map[int]*chunk)}
		t.uploads[id] = u
	}
	return u
}

func (t *Table) applyFile(r infra.Record, f *fileRecord) {
	f.Orig = cmpOr(f.Orig, r.Offset)
	known, ok := t.files[f.ID]
	if ok && known.Orig <= f.Orig {
		if known.Orig == f.Orig {
			known.copyOffset = r.Offset
		}
		return
	}
	fresh := &file{fileRecord: *f, copyOffset: r.Offset, upload: t.upload(f.Upload, r)}
	fresh.upload.sealed = true
	t.files[f.ID] = fresh
	t.jobsVersion++
}

func (t *Table) applyJob(r infra.Record, j *jobRecord) {
	j.Orig = cmpOr(j.Orig, r.Offset)
	known := t.job(j.ID, r)
	if known.committed() && known.Orig <= j.Orig {
		if known.Orig == j.Orig {
			known.copyOffset = r.Offset
		}
		return
	}
	known.jobRecord = *j
	known.copyOffset = r.Offset
	known.file = nil
	t.attach(known)
	t.jobsVersion++
}

// job returns the job with an ID and creates it if needed. It is not committed
// if only facts about it were replayed so far.
func (t *Table) job(id string, r infra.Record) *job {
	j, ok := t.jobs[id]
	if !ok {
		j = newJob(id, r.Time)
		t.jobs[id] = j
	}
	return j
}

// Job returns the committed job with an ID, or nil if there is none, it is
// deleted or its file is not known.
func (t *Table) Job(id string) *job {
	j, ok := t.jobs[id]
	if !ok || !j.committed() || j.deletedOffset != 0 || !t.attach(j) {
		return nil
	}
	return j
}

// Deleted reports whether a job was deleted and is not removed yet.
func (t *Table) Deleted(id string) bool {
	j, ok := t.jobs[id]
	return ok && j.deletedOffset != 0
}

// attach sets the file of a job and reports whether it is known.
func (t *Table) attach(j *job) bool {
	if j.file != nil {
		return true
	}
	f, ok := t.files[j.File]
	if !ok || f.Customer != j.Customer {
		return false
	}
	j.attach(f)
	return true
}

// RemoveExpired removes the jobs, files and unfinished uploads whose retention
// has ended.
func (t *Table) RemoveExpired(now time.Time) {
	used := make(map[string]bool)
	for id, j := range t.jobs {
		stale := !j.committed() && now.Sub(j.firstSeen) > UploadRetention
		if stale || j.committed() && now.After(j.Kept) {
			delete(t.jobs, id)
			t.jobsVersion++
			continue
		}
		used[j.File] = true
	}
	for id, f := range t.files {
		if now.After(f.Kept) && !used[id] {
			delete(t.files, id)
			delete(t.uploads, f.Upload)
		}
	}
	for id, u := range t.uploads {
		if !u.sealed && now.Sub(u.firstSeen) > UploadRetention {
			delete(t.uploads, id)
		}
	}
}

// List returns the jobs of a customer, or all if it is empty, newest first.
func (t *Table) List(customer string) []*job {
	var out []*job
	for id := range t.jobs {
		j := t.Job(id)
		if j != nil && (customer == "" || j.Customer == customer) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if c := b.Created.Compare(a.Created); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// cmpOr returns o, or other if o is 0.
func cmpOr(o, other infra.Offset) infra.Offset {
	if o == 0 {
		return other
	}
	return o
}

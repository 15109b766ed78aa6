package jobs

import (
	"slices"
	"strings"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// Table is the state of one partition, made by replaying its stream. It is
// passive and not safe for concurrent use.
//
// Every statement carries the offset of the record that first made it, and a
// table keeps the lowest. So a carried copy never beats an older record, and a
// table that starts in the middle of the stream ends in the same state.
type Table struct {
	inv           *invariant.Set
	next          infra.Offset // the first offset not applied
	replayed      bool         // replayed far enough to be read from
	uploads       map[string]*upload
	files         map[string]*file
	jobs          map[string]*job
	jobsVersion   int // changes whenever another job may have become known
	timeMarks     []timeMark
	recordOffsets map[string]infra.Offset // ids of recent records
	// completed is told of each completion of an item that had none.
	onCompleted func(j *job, failed bool)
	recentIDs   []string
}

// mark remembers when a record was stored.
type timeMark struct {
	offset infra.Offset
	time   time.Time
}

// upload is a sequence of chunks.
type upload struct {
	firstSeen time.Time // of the first record about it
	sealed    bool      // a file names it
	chunks    map[int]*chunk
}

// chunk is where some items of an upload lie.
type chunk struct {
	copyOffset infra.Offset // its latest copy
	firstItem  int
	count      int
	targets    []uint8 // of each item; nil: all 0
}

// file is a sealed upload.
type file struct {
	fileRecord
	copyOffset infra.Offset // latest copy of the record
	upload     *upload
}

// recentIDs is the number of record ids that a table remembers.
const maxRecentIDs = 512

// markInterval is the resolution at which the age of records is known.
const timeMarkInterval = time.Second

// NewTable returns an empty table whose broken promises are counted in inv.
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

// Next returns the first offset that was not applied.
func (t *Table) Next() infra.Offset { return t.next }

// SetNext sets the offset of the first record to be applied.
func (t *Table) SetNext(from infra.Offset) { t.next = from }

// MarkReplayed lets the table be read from: it has been replayed to the end.
func (t *Table) MarkReplayed() { t.replayed = true }

// Apply replays one record. Records come in offset order; one that was
// applied before is passed over. It fails on a record that is not ours.
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

// RecordOffset returns the offset of a recent record.
func (t *Table) RecordOffset(id string) (infra.Offset, bool) {
	o, ok := t.recordOffsets[id]
	return o, ok
}

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

// job returns the job with that id; it is not committed if only facts about
// it were seen so far.
func (t *Table) job(id string, r infra.Record) *job {
	j, ok := t.jobs[id]
	if !ok {
		j = newJob(id, r.Time)
		t.jobs[id] = j
	}
	return j
}

// Job returns a committed job that is not deleted, or nil.
func (t *Table) Job(id string) *job {
	j, ok := t.jobs[id]
	if !ok || !j.committed() || j.deletedOffset != 0 || !t.attach(j) {
		return nil
	}
	return j
}

// Deleted says whether a job was deleted and is not forgotten yet.
func (t *Table) Deleted(id string) bool {
	j, ok := t.jobs[id]
	return ok && j.deletedOffset != 0
}

// attach joins a job with its file and says whether that is known.
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

// RemoveExpired drops what is past its time: jobs, files and unfinished uploads.
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

// List returns the jobs of a customer, or of all if it is empty, latest
// first.
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

package jobs

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/ingress"
)

// logRetryAfter is the Retry-After sent to callers while the log is
// unavailable.
const logRetryAfter = 5 * time.Second

// JobParams holds the parameters of a job other than its items.
type JobParams struct {
	Endpoint string // URL path that all items must have, such as /v1/chat/completions; empty: any
	Window   string // a duration such as "24h"; empty: DefaultWindow
	Metadata map[string]string
}

// Submission is an input file to be stored and, if Job is set, the job that
// runs it.
type Submission struct {
	Customer string
	Key      string // the caller's idempotency key; empty: the IDs derive from the content
	Name     string // of the file
	Body     io.Reader
	Job      *JobParams
}

// ingestion is the state of one submission while it is read and stored.
type ingestion struct {
	service    *Service
	submission *Submission
	partition  int
	appender   *appender
	checker    *checker
	upload     string
	digest     hash.Hash
	discard    bool  // the content is only digested, as the job exists already
	firstItems []int // index of the first item of each chunk closed so far
	items      int   // lines read, other than empty ones
	chunk      chunkHeader
	bodies     [][]byte
	bytes      int // sum of the sizes of bodies
}

// Accept stores a file and, if in.Job is set, a job that runs it. It returns
// once they are durable: the job if in.Job is set, and the file otherwise.
// Submitting the same content again, with the same key if it has one, returns
// the same file or job.
func (s *Service) Accept(ctx context.Context, in *Submission) (FileView, View, *api.Error) {
	now := time.Now()
	var window time.Duration
	if in.Job != nil {
		var fail *api.Error
		if window, fail = parseWindow(in.Job.Window); fail != nil {
			return FileView{}, View{}, fail
		}
	}
	buffered := bufio.NewReaderSize(in.Body, MaxItemBytes+1)
	ing := &ingestion{service: s, submission: in, digest: sha256.New(), upload: s.nextNonce()}
	ing.partition = ing.choosePartition(buffered)
	endpoint := ""
	if in.Job != nil {
		endpoint = in.Job.Endpoint
	}
	ing.checker = newChecker(s.opts.Config.Current(), in.Customer, endpoint, in.Name)
	known, fail := ing.openStream(ctx)
	if fail != nil {
		return FileView{}, View{}, fail
	}
	size, fail := ing.read(ctx, buffered)
	if fail != nil {
		return FileView{}, View{}, fail
	}
	digest := hex.EncodeToString(ing.digest.Sum(nil))
	if known.ID != "" {
		return FileView{}, known, resendConflict(known, digest)
	}
	if fail := ing.validationError(); fail != nil {
		return FileView{}, View{}, fail
	}
	return ing.commit(ctx, now, digest, size, window)
}

// choosePartition derives the partition from the idempotency key or, without
// one, from the first MaxItemBytes of the content, as the rest has not been
// read yet.
func (ing *ingestion) choosePartition(r *bufio.Reader) int {
	if ing.submission.Key != "" {
		return hashPartition(ing.submission.Customer + "\x00key\x00" + ing.submission.Key)
	}
	head, _ := r.Peek(MaxItemBytes)
	sum := sha256.Sum256(head)
	return hashPartition(ing.submission.Customer + "\x00head\x00" + string(sum[:]))
}

// openStream opens the partition's stream for appends and looks for the job of
// an earlier submission with the same key.
func (ing *ingestion) openStream(ctx context.Context) (View, *api.Error) {
	a, err := newAppender(ctx, ing.service.opts.Log, streamName(ing.partition))
	if err != nil {
		return View{}, logUnavailable()
	}
	ing.appender = a
	if ing.submission.Job == nil || ing.submission.Key == "" {
		return View{}, nil
	}
	known, err := ing.service.Get(ctx, ing.submission.Customer, ing.jobID(""))
	if err == nil && known.ID != "" {
		ing.discard = true
		return known, nil
	}
	return View{}, nil // a job missed while the owner is unreachable is harmless: the first commit counts
}

// fileID derives the ID of the file from the key and the content.
func (ing *ingestion) fileID(digest string) string {
	return newID(filePrefix, ing.partition, shortDigest(ing.submission.Customer, ing.submission.Key, digest))
}

// jobID derives the ID of the job from the key or, without one, from the
// content.
func (ing *ingestion) jobID(digest string) string {
	if ing.submission.Key != "" {
		return newID(jobPrefix, ing.partition, shortDigest(ing.submission.Customer, "key", ing.submission.Key))
	}
	return newID(jobPrefix, ing.partition, shortDigest(ing.submission.Customer, "file", ing.fileID(digest)))
}

// shortDigest returns the first 12 bytes, in hexadecimal, of a SHA-256 over the
// parts and their lengths.
func shortDigest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// resendConflict returns the error for a submission whose job exists already but
// can't be returned for it, as it was deleted or has other content. Otherwise it
// returns nil.
func resendConflict(known View, digest string) *api.Error {
	if known.Status == StatusDeleted {
		return api.NewError(http.StatusConflict, api.CodeConflict,
			"job "+known.ID+" of the same key or content was deleted: use another idempotency key")
	}
	if known.Digest == digest {
		return nil
	}
	return api.NewError(http.StatusConflict, api.CodeConflict,
		"the idempotency key was used before with another content, for job "+known.ID)
}

// read checks and stores all lines and returns the size of the content in
// bytes.
func (ing *ingestion) read(ctx context.Context, r *bufio.Reader) (int64, *api.Error) {
	lines := &lineReader{reader: r}
	for {
		line, err := lines.next()
		if errors.Is(err, io.EOF) {
			return lines.bytes, nil
		}
		if err != nil {
			return 0, readError(err)
		}
		if lines.bytes > MaxFileBytes {
			return 0, api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge,
				fmt.Sprintf("the file exceeds %d bytes", int64(MaxFileBytes)))
		}
		_, _ = ing.digest.Write(line)
		_, _ = ing.digest.Write([]byte{'\n'})
		if line != nil && len(line) == 0 || ing.discard {
			continue
		}
		if fail := ing.addLine(ctx, lines.number, line); fail != nil {
			return 0, fail
		}
	}
}

// readError returns the response to a request whose body could not be read.
func readError(err error) *api.Error {
	if refusal := ingress.BodyError(err); refusal != nil {
		return refusal
	}
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the body could not be read: "+err.Error())
}

// addLine checks one line and adds its item to the current chunk. After the
// first finding no further chunk is stored.
func (ing *ingestion) addLine(ctx context.Context, number int, line []byte) *api.Error {
	item, body, ok := ing.checker.checkLine(number, line)
	ing.items++
	if ing.items == MaxItems+1 {
		ing.checker.addFinding(number, "", "more than %d items", MaxItems)
	}
	if !ok || ing.checker.findingCount > 0 {
		ing.bodies, ing.chunk.Items, ing.bytes = nil, nil, 0
		return nil
	}
	if ing.bytes+len(body) > ChunkBytes || len(ing.chunk.Items) == ChunkItems {
		if fail := ing.flush(ctx); fail != nil {
			return fail
		}
	}
	ing.chunk.Items = append(ing.chunk.Items, item)
	ing.bodies = append(ing.bodies, append([]byte(nil), body...))
	ing.bytes += len(body)
	return nil
}

// closeChunk returns the header of the current chunk and starts the next one.
func (ing *ingestion) closeChunk() chunkHeader {
	c := ing.chunk
	c.Upload = ing.upload
	c.Seq = len(ing.firstItems)
	ing.firstItems = append(ing.firstItems, c.First)
	ing.chunk = chunkHeader{First: c.First + len(c.Items)}
	return c
}

// flush appends the current chunk once the fleet's budget of chunk appends
// admits it.
func (ing *ingestion) flush(ctx context.Context) *api.Error {
	if !ing.service.waitAppend(ctx) {
		return readError(ctx.Err())
	}
	c := ing.closeChunk()
	id := fmt.Sprintf("%s-%d", ing.upload, c.Seq)
	_, outcome := ing.appender.append(ctx, id, encodeRecord(&header{Chunk: &c}, ing.bodies...))
	if outcome != api.Done {
		return logUnavailable() // chunks without a commit have no effect
	}
	ing.bodies, ing.bytes = nil, 0
	return nil
}

// validationError returns the error for a file that has no items or has
// findings, or nil if the file is valid.
func (ing *ingestion) validationError() *api.Error {
	if ing.items == 0 {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the file has no items")
	}
	if ing.checker.findingCount == 0 {
		return nil
	}
	e := api.NewError(http.StatusBadRequest, api.CodeBadRequest,
		fmt.Sprintf("the file is refused whole: %d faults, the first %d are named",
			ing.checker.findingCount, len(ing.checker.findings)))
	e.Findings = ing.checker.findings
	return e
}

// commit appends the last chunk together with the file record and the job
// record.
func (ing *ingestion) commit(ctx context.Context, now time.Time, digest string, size int64, window time.Duration) (FileView, View, *api.Error) {
	last := ing.closeChunk()
	f := &fileRecord{
		ID:         ing.fileID(digest),
		Customer:   ing.submission.Customer,
		Upload:     ing.upload,
		Digest:     digest,
		Name:       ing.submission.Name,
		Bytes:      size,
		Items:      ing.items,
		FirstItems: ing.firstItems,
		Targets:    ing.checker.targets,
		Created:    now,
		Kept:       now.Add(ing.service.opts.ResultRetention),
	}
	h := &header{Chunk: &last, File: f}
	if ing.submission.Job == nil {
		fail := ing.service.commit(ctx, ing.appender, ing.upload, encodeRecord(h, ing.bodies...))
		return (&file{fileRecord: *f}).view(), View{}, fail
	}
	id := ing.jobID(digest)
	if known, err := ing.service.Get(ctx, ing.submission.Customer, id); err == nil && known.ID != "" {
		return FileView{}, known, resendConflict(known, digest)
	}
	h.Job = ing.service.newJobRecord(id, f.ID, ing.submission.Customer, ing.submission.Job, now, window)
	fail := ing.service.commit(ctx, ing.appender, ing.upload, encodeRecord(h, ing.bodies...))
	return FileView{}, newJobView(h.Job, f), fail
}

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
)

// logRetryAfter is when a caller should come back that met a log that is
// down.
const logRetryAfter = 5 * time.Second

// JobParams is what a caller says about a job besides its items.
type JobParams struct {
	Endpoint string
	Window   string // a duration such as "24h"; empty: DefaultWindow
	Metadata map[string]string
}

// Submission is a file of items on its way in, and with Job the job that is
// to run it.
type Submission struct {
	Customer string
	Key      string // the caller's idempotency key; empty: the content decides
	Name     string // of the file
	Body     io.Reader
	Job      *JobParams
}

// intake is the state of one submission.
type intake struct {
	s         *Service
	in        *Submission
	partition int
	appender  *appender
	check     *checker
	upload    string
	digest    hash.Hash
	skip      bool // the content is only read: the job is known, or refused
	firsts    []int
	items     int
	chunk     chunkHeader
	bodies    [][]byte
	bytes     int // in bodies
}

// Accept stores a file, and a job if one is asked for. It returns once they
// are durable. A submission sent again gives the same file and job.
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
	i := &intake{s: s, in: in, digest: sha256.New(), upload: s.nextNonce()}
	i.partition = i.choosePartition(buffered)
	endpoint := ""
	if in.Job != nil {
		endpoint = in.Job.Endpoint
	}
	i.check = newChecker(s.o.Config.Current(), in.Customer, endpoint, in.Name)
	known, fail := i.begin(ctx)
	if fail != nil {
		return FileView{}, View{}, fail
	}
	size, fail := i.read(ctx, buffered)
	if fail != nil {
		return FileView{}, View{}, fail
	}
	digest := hex.EncodeToString(i.digest.Sum(nil))
	if known.ID != "" {
		return FileView{}, known, sameContent(known, digest)
	}
	if fail := i.refusal(); fail != nil {
		return FileView{}, View{}, fail
	}
	return i.commit(ctx, now, digest, size, window)
}

// choosePartition derives the partition from the key or, without one, from
// the first bytes of the content: the whole is not known yet.
func (i *intake) choosePartition(r *bufio.Reader) int {
	if i.in.Key != "" {
		return hashPartition(i.in.Customer + "\x00key\x00" + i.in.Key)
	}
	head, _ := r.Peek(MaxItemBytes)
	sum := sha256.Sum256(head)
	return hashPartition(i.in.Customer + "\x00head\x00" + string(sum[:]))
}

// begin looks for the job of an earlier try and opens the stream.
func (i *intake) begin(ctx context.Context) (View, *api.Error) {
	a, err := newAppender(ctx, i.s.o.Log, streamName(i.partition))
	if err != nil {
		return View{}, logDown()
	}
	i.appender = a
	if i.in.Job == nil || i.in.Key == "" {
		return View{}, nil
	}
	known, err := i.s.Get(ctx, i.in.Customer, i.jobID(""))
	if err == nil && known.ID != "" {
		i.skip = true
		return known, nil
	}
	return View{}, nil // an unreachable owner does no harm: the first commit counts
}

// fileID and jobID derive ids from the key or the content.
func (i *intake) fileID(digest string) string {
	return newID(filePrefix, i.partition, shortDigest(i.in.Customer, i.in.Key, digest))
}

func (i *intake) jobID(digest string) string {
	if i.in.Key != "" {
		return newID(jobPrefix, i.partition, shortDigest(i.in.Customer, "key", i.in.Key))
	}
	return newID(jobPrefix, i.partition, shortDigest(i.in.Customer, "file", i.fileID(digest)))
}

// shortDigest returns 24 hex digits over the parts.
func shortDigest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// sameContent returns the error of a resend that can't be answered with the
// job of the first try.
func sameContent(known View, digest string) *api.Error {
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

// read checks and stores all lines and returns the size of the content.
func (i *intake) read(ctx context.Context, r *bufio.Reader) (int64, *api.Error) {
	lines := &lineReader{r: r}
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
		_, _ = i.digest.Write(line)
		_, _ = i.digest.Write([]byte{'\n'})
		if line != nil && len(line) == 0 || i.skip {
			continue
		}
		if fail := i.line(ctx, lines.line, line); fail != nil {
			return 0, fail
		}
	}
}

func readError(err error) *api.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, err.Error())
	}
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the body could not be read: "+err.Error())
}

// line takes one line. After the first fault nothing more is stored.
func (i *intake) line(ctx context.Context, number int, line []byte) *api.Error {
	item, body, ok := i.check.check(number, line)
	i.items++
	if i.items == MaxItems+1 {
		i.check.fault(number, "", "more than %d items", MaxItems)
	}
	if !ok || i.check.faults > 0 {
		i.bodies, i.chunk.Items, i.bytes = nil, nil, 0
		return nil
	}
	if i.bytes+len(body) > ChunkBytes || len(i.chunk.Items) == ChunkItems {
		if fail := i.flush(ctx); fail != nil {
			return fail
		}
	}
	i.chunk.Items = append(i.chunk.Items, item)
	i.bodies = append(i.bodies, append([]byte(nil), body...))
	i.bytes += len(body)
	return nil
}

// seal closes the chunk being gathered.
func (i *intake) seal() chunkHeader {
	c := i.chunk
	c.Upload = i.upload
	c.Seq = len(i.firsts)
	i.firsts = append(i.firsts, c.First)
	i.chunk = chunkHeader{First: c.First + len(c.Items)}
	return c
}

// flush stores the chunk being gathered, no faster than the fleet's budget of
// appends allows.
func (i *intake) flush(ctx context.Context) *api.Error {
	if !i.s.awaitAppend(ctx) {
		return readError(ctx.Err())
	}
	c := i.seal()
	id := fmt.Sprintf("%s-%d", i.upload, c.Seq)
	_, outcome := i.appender.append(ctx, id, encodeRecord(&header{Chunk: &c}, i.bodies...))
	if outcome != api.Done {
		return logDown() // without the commit nothing runs
	}
	i.bodies, i.bytes = nil, 0
	return nil
}

// refusal returns the error that names what is wrong with the file.
func (i *intake) refusal() *api.Error {
	if i.items == 0 {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the file has no items")
	}
	if i.check.faults == 0 {
		return nil
	}
	e := api.NewError(http.StatusBadRequest, api.CodeBadRequest,
		fmt.Sprintf("the file is refused whole: %d faults, the first %d are named",
			i.check.faults, len(i.check.findings)))
	e.Findings = i.check.findings
	return e
}

// commit stores the last chunk together with the file and the job.
func (i *intake) commit(ctx context.Context, now time.Time, digest string, size int64, window time.Duration) (FileView, View, *api.Error) {
	last := i.seal()
	f := &fileRecord{
		ID:       i.fileID(digest),
		Customer: i.in.Customer,
		Upload:   i.upload,
		Digest:   digest,
		Name:     i.in.Name,
		Bytes:    size,
		Items:    i.items,
		Firsts:   i.firsts,
		Targets:  i.check.targets,
		Created:  now,
		Kept:     now.Add(i.s.o.ResultRetention),
	}
	h := &header{Chunk: &last, File: f}
	if i.in.Job == nil {
		fail := i.s.commit(ctx, i.appender, i.upload, encodeRecord(h, i.bodies...))
		return (&file{fileRecord: *f}).view(), View{}, fail
	}
	id := i.jobID(digest)
	if known, err := i.s.Get(ctx, i.in.Customer, id); err == nil && known.ID != "" {
		return FileView{}, known, sameContent(known, digest)
	}
	h.Job = i.s.newJobRecord(id, f.ID, i.in.Customer, i.in.Job, now, window)
	fail := i.s.commit(ctx, i.appender, i.upload, encodeRecord(h, i.bodies...))
	return FileView{}, freshView(h.Job, f), fail
}

//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store.
const (
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
	appendTime     = 2 * time.Millisecond // appendMs
	appendBytes    = 20_000_000           // a second at one partition, partMbS
	callBytes      = 2097152
	maxStored      = 400_000_000 // bytes in total, beyond which appends receive 507
)

// record is one record of a partition.
type record struct {
	offset     int64
	key, value string
}

// partition is one partition of a keyed topic.
type partition struct {
	records []record
	newest  map[string]record
	changed chan struct{} // closed at the next append

	appending sync.Mutex // held during an append: a partition processes one at a time
}

// store is a stand-in of the platform's store.
type store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	down   string // partition that is down, as TOPIC/PART; empty: none
	stored int    // bytes of the newest record of each key, which are kept for good
	full   int    // appends that were refused with 507
}

// setDown takes one partition down, or up again if it is empty.
func (s *store) setDown(partition string) {
	s.mu.Lock()
	s.down = partition
	s.mu.Unlock()
}

// fill returns the bytes that are kept for good, and the number of appends refused with 507.
func (s *store) fill() (stored, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored, s.full
}

// isDown reports whether the partition of a call is down.
func (s *store) isDown(q url.Values) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down == allParts || s.down != "" && s.down == q.Get("topic")+"/"+q.Get("part")
}

func newStore() *store { return &store{parts: make(map[string]*partition)} }

// partition returns the partition of a topic. The caller holds the lock.
func (s *store) partition(topic, part string) *partition {
	p := s.parts[topic+"/"+part]
	if p == nil {
		p = &partition{newest: make(map[string]record), changed: make(chan struct{})}
		s.parts[topic+"/"+part] = p
	}
	return p
}

// put appends one record as the operator does. An empty value deletes the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.partition(topic, "0"), []record{{key: key, value: value}})
}

// append appends records to a partition and returns the offset of the first. The caller holds
// the lock.
func (s *store) append(p *partition, records []record) int64 {
	first := int64(len(p.records))
	for i, r := range records {
		r.offset = first + int64(i)
		p.records = append(p.records, r)
		s.stored += len(r.value) - len(p.newest[r.key].value)
		if r.value == "" {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown(r.URL.Query()) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case names.Paths.Append:
		s.serveAppend(w, r)
	case names.Paths.Read:
		s.serveRead(w, r)
	case names.Paths.Newest:
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	size := len(body)
	if size > callBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) > n-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+n]
		body = body[4+n:]
		keyEnd := 1 + int(content[0])
		records = append(records, record{key: string(content[1:keyEnd]), value: string(content[keyEnd:])})
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(size)*time.Second/appendBytes)
	s.mu.Lock()
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	if s.stored > maxStored {
		s.full++
		s.mu.Unlock()
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	first := s.append(p, records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": first + int64(len(records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		page, found := p.page(from, maxKB<<10)
		changed := p.changed
		s.mu.Unlock()
		if found || !waiting {
			_, _ = w.Write(page)
			return
		}
		select {
		case <-changed:
			if s.isDown(q) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the response to a read and whether it holds records.
func (p *partition) page(from int64, maxBytes int) ([]byte, bool) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	found := false
	for ; from < int64(len(p.records)); from++ {
		r := p.records[from]
		if found && len(b)+len(r.key)+len(r.value)+5 > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
		found = true
	}
	return b, found
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	response := struct {
		Entries []entry `json:"entries"`
		More    bool    `json:"more"`
		End     int64   `json:"end"`
	}{Entries: []entry{}}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	response.End = int64(len(p.records))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, k := range keys {
		v := p.newest[k]
		size += len(v.value)
		if len(response.Entries) == maxPageRecords || size > maxPageBytes && len(response.Entries) > 0 {
			response.More = true
			break
		}
		response.Entries = append(response.Entries, entry{k, []byte(v.value), v.offset})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// appendBody returns the body of an append of one record.
func appendBody(key, value string) io.Reader {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	b = append(b, byte(len(key)))
	return strings.NewReader(string(b) + key + value)
}

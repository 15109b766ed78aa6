//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { scenarios["revoke"] = playRevoke }

// cutTime is the length of the cut between the entry and the store, revokeBound the bound
// revokeMs.
const (
	cutTime     = 7 * time.Second
	revokeBound = 5 * time.Second
)

// playRevoke: the entry is cut off from the store, a key is taken away meanwhile, and a
// caller sends a request with that key later than revokeMs after the acknowledgement. Its
// body is under way when the cut ends.
func playRevoke(cl *cluster, trouble bool) (verdict, error) {
	const service, key, kept = "lm", "key-taken-away", "key-kept"
	for n := range 3 {
		w := &worker{id: fmt.Sprintf("w%d", n), service: service, zone: "za", version: "v1", weights: 1,
			slots: 8, events: 34, interval: 10 * time.Millisecond, first: 20 * time.Millisecond}
		if err := cl.addWorker(w); err != nil {
			return notRun, err
		}
	}
	ask := route("ask", "/ask/", "streaming", true, 2, service)
	if err := cl.configure([]string{service}, []customer{{"garden", []string{key, kept}}}, ask); err != nil {
		return notRun, err
	}
	way, err := newLink(cl.storeAddr)
	if err != nil {
		return notRun, err
	}
	e, err := cl.addEntry("za", way.addr())
	if err != nil {
		return notRun, err
	}
	if err := cl.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	first := cl.ask(e, newID("before"), "/ask/q", key, nil, []byte("question"))
	cl.record.say("with the key before it is taken away: %s", first)
	if first.status != http.StatusOK {
		return notRun, fmt.Errorf("the entry does not serve")
	}
	cutAt := time.Now()
	if trouble {
		cl.record.say("the entry is cut off from the store for %v", cutTime)
		way.setCut(true)
		time.AfterFunc(cutTime, func() { cl.record.printf("the cut ends"); way.setCut(false) })
	}
	time.Sleep(400 * time.Millisecond)
	if err := cl.configure([]string{service}, []customer{{"garden", []string{kept}}}, ask); err != nil {
		return notRun, err
	}
	acknowledged := time.Now()
	cl.record.say("the store has acknowledged the configuration that takes the key away")
	time.Sleep(time.Until(acknowledged.Add(revokeBound + 400*time.Millisecond)))
	id := newID("late")
	sentAt := time.Now()
	a := cl.slowPost(e, id, "/ask/q", key, bytes.Repeat([]byte("question "), 2000), time.Until(cutAt.Add(cutTime+1200*time.Millisecond)))
	cl.record.say("a request with the key, sent %.1f s after the acknowledgement: %s", sentAt.Sub(acknowledged).Seconds(), a)
	for _, w := range cl.workers {
		for _, r := range w.allRuns() {
			if r.id == id {
				cl.record.say("worker %s ran it %.1f s after the acknowledgement", w.id, r.at.Sub(acknowledged).Seconds())
				return broken, nil
			}
		}
	}
	return held, nil
}

// slowPost sends a request whose body takes the given time, and reads the answer.
func (cl *cluster) slowPost(e *entry, id, path, key string, body []byte, d time.Duration) answer {
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	cl.record.printf("caller sends the header of %s to %s, path %s; its body takes %v", id, e.name, path, d)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		path, host, names.Attempt, id, names.Deadline, key, len(body))
	const pieces = 20
	for i := range pieces {
		if err != nil {
			return answer{err: err}
		}
		time.Sleep(d / pieces)
		_, err = c.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces])
	}
	cl.record.printf("caller has sent the last byte of %s", id)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: r.StatusCode, header: r.Header, body: content}
}

//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// workerSettings are the settings of a worker process.
type workerSettings struct {
	ID, Address, Zone, Store string
	Service                  string
	Slots, Events            int
	EventMs                  int
	// EventBytes is the size of the data of an event; 0: as short as it can be.
	EventBytes int
	// Unframed says that answers have no length and end with their connection.
	Unframed bool
	// Log is the file to which the worker appends a line for each run.
	Log string
}

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second        // drainMs
	lingering = 500 * time.Millisecond // how much longer a worker serves
)

// worker is a stand-in of a model worker in a process of its own.
type worker struct {
	workerSettings
	log     *os.File
	born    int64
	running atomic.Int64

	mu       sync.Mutex // held during a registration
	sequence int
	state    string
}

func runWorker(path string) {
	b, err := os.ReadFile(path)
	if err != nil {
		panic(err)
	}
	w := &worker{born: time.Now().UnixMilli(), state: "ready"}
	if err := json.Unmarshal(b, &w.workerSettings); err != nil {
		panic(err)
	}
	if w.log, err = os.OpenFile(w.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", w.Address)
	if err != nil {
		panic(err)
	}
	go w.register()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		w.leave()
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			panic(err)
		}
		go w.serve(conn)
	}
}

// register writes the registration of the worker every heartbeat.
func (w *worker) register() {
	for {
		w.mu.Lock()
		state := w.state
		w.mu.Unlock()
		w.write(state)
		time.Sleep(heartbeat)
	}
}

// write writes a registration with a state and reports whether the store has accepted it.
func (w *worker) write(state string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
	w.sequence++
	b, err := json.Marshal(map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1",
		"slots": w.Slots, "state": w.state, "coldLeftMs": 0, "stage": "both", "sequence": w.sequence, "born": w.born})
	if err != nil {
		panic(err)
	}
	return w.append(string(b))
}

func (w *worker) append(value string) bool {
	r, err := http.Post("http://"+w.Store+names.Paths.Append+"?part=0&topic="+names.Topics.Endpoints, "", appendBody(w.ID, value))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// leave reports that the worker drains, serves for drainTime and a little longer, withdraws the
// registration and exits.
func (w *worker) leave() {
	for !w.write("draining") {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(drainTime + lingering)
	w.mu.Lock() // no further registration
	w.append("")
	os.Exit(0)
}

// serve serves the requests on one connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the other side sees it
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.answer(conn, reader, r, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with the answer.
func (w *worker) answer(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get(names.Headers.ID)
	head := names.Headers.ID + ": " + id + "\r\n"
	if expected := r.Header.Get(names.Headers.Expect); expected != "" && expected != w.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if int(w.running.Add(1)) > w.Slots {
		w.running.Add(-1)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", head, names.Headers.NotExecuted)
		return err == nil
	}
	defer w.running.Add(-1)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Fprintf(w.log, "%s runs %s from event %d\n", w.ID, id, last+1)
	head += names.Headers.Signature + ": signed\r\nContent-Type: text/event-stream\r\n"
	if w.Unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	for n := last + 1; n <= w.Events; n++ {
		time.Sleep(time.Duration(w.EventMs) * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n, w.EventBytes))
		if !w.Unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
	}
	fmt.Fprintf(w.log, "%s ends %s\n", w.ID, id)
	if w.Unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// eventData returns the data of event n of a request, which is the same at all workers, of at
// least size bytes.
func eventData(id string, n, size int) string {
	text := fmt.Sprintf("%s/%d", id, n)
	return text + strings.Repeat(".", max(0, size-len(text)))
}

// wholeOutput returns the output of an item with that many events.
func wholeOutput(id string, events, size int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(id, i+1, size)
	}
	return strings.Join(lines, "\n")
}

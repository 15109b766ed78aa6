//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["dark"] = playDark }

// darkTime is how long a worker that has gone dark stays so; then it is back as a new
// incarnation at the same address.
const darkTime = 4500 * time.Millisecond

// goDark makes the worker silent, as a machine that is off: it sends nothing on its
// connections, and new ones are not answered.
func (w *worker) goDark() {
	w.mu.Lock()
	w.silent, w.dark = true, true
	w.mu.Unlock()
	w.record.printf("worker %s goes dark", w.id)
	raw, err := w.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	// With its queue of new connections full, the kernel drops further opening packets.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 4 {
		if c, err := net.DialTimeout("tcp", w.addr, 20*time.Millisecond); err == nil {
			w.mu.Lock()
			w.fill = append(w.fill, c)
			w.mu.Unlock()
		}
	}
}

// isDark reports whether the worker has gone dark.
func (w *worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// darkListener accepts no connections once its worker has gone dark.
type darkListener struct {
	net.Listener
	w *worker
}

// Accept implements net.Listener.
func (l darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.w.isDark() {
		l.w.mu.Lock()
		l.w.fill = append(l.w.fill, c)
		l.w.mu.Unlock()
		<-l.w.done
		return nil, net.ErrClosed
	}
	return c, err
}

// playDark: a request makes each worker that begins to run it go dark; the worker is back
// after some seconds. The request comes again and again, as the same caller sends it.
func playDark(cl *cluster, trouble bool) (verdict, error) {
	const service, key, killer = "lm", "key-of-garden", "/ask/killer"
	zones := []string{"za", "zb", "zc"}
	var mu sync.Mutex
	var crashes []time.Time
	var newWorker func(n, incarnation int, addr string) *worker
	newWorker = func(n, incarnation int, addr string) *worker {
		w := &worker{id: fmt.Sprintf("w%d-%d", n, incarnation), service: service, zone: zones[n%3], version: "v1", weights: 1, addr: addr,
			slots: 8, events: 20, interval: 10 * time.Millisecond, first: 20 * time.Millisecond}
		w.onRun = func(path string) {
			if !trouble || path != killer || w.isDark() {
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.goDark()
			time.AfterFunc(darkTime, func() {
				w.stop()
				_ = cl.store.Put("servers", w.id, nil)
				mu.Lock()
				defer mu.Unlock()
				if err := cl.addWorker(newWorker(n, incarnation+1, w.addr)); err != nil {
					cl.record.say("worker %d is not back: %v", n, err)
				}
			})
		}
		return w
	}
	for n := range 6 {
		if err := cl.addWorker(newWorker(n, 1, "")); err != nil {
			return notRun, err
		}
	}
	if err := cl.configure([]string{service}, []customer{{"garden", []string{key}}}, route("ask", "/ask/", "streaming", true, 2, service)); err != nil {
		return notRun, err
	}
	for _, z := range zones {
		if _, err := cl.addEntry(z, cl.storeAddr); err != nil {
			return notRun, err
		}
	}
	if err := cl.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var plain tally
	waitPlain := every(100*time.Millisecond, stop, func(n int) {
		plain.add(cl.ask(cl.entries[n%3], newID("plain"), "/ask/q", key, nil, []byte("question "+strconv.Itoa(n))))
	})
	time.Sleep(4 * time.Second)
	n, ok := plain.take()
	cl.record.say("before: %d of %d other requests served", ok, n)
	sentAt := make(map[string]time.Time)
	denied := 0
	waitKiller := every(1500*time.Millisecond, stop, func(n int) {
		id := newID("killer")
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		a := cl.ask(cl.entries[n%3], id, killer, key, nil, []byte("the same body"))
		mu.Lock()
		if a.status == http.StatusUnprocessableEntity {
			denied++
		}
		mu.Unlock()
	})
	time.Sleep(30 * time.Second)
	close(stop)
	waitPlain()
	waitKiller()
	n, ok = plain.take()
	mu.Lock()
	defer mu.Unlock()
	cl.record.say("since then: %d of %d other requests served; %d sends of the request, %d answered with 422, %d workers gone dark by it", ok, n, len(sentAt), denied, len(crashes))
	if len(crashes) < 3 {
		return held, nil
	}
	bound := crashes[2].Add(contact)
	late := 0
	for _, w := range cl.workers {
		for _, r := range w.allRuns() {
			if r.path == killer && r.at.After(bound) {
				late++
			}
		}
	}
	cl.record.say("it reaches workers %d times later than contactMs after the third; three are allowed", late)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}

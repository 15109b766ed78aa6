package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usageInterval is the time between two counts of open descriptors.
const usageInterval = 10 * time.Millisecond

// Usage is the peak of what a process has used.
type Usage struct {
	Memory      int64 // peak resident memory, in bytes
	Descriptors int   // most open descriptors that were counted
}

// Watcher counts the open descriptors of a process.
type Watcher struct {
	pid      int
	stop     chan struct{}
	counting sync.WaitGroup
	most     int
}

// Watch counts the open descriptors of the process with the given ID until Peak.
func Watch(pid int) *Watcher {
	w := &Watcher{pid: pid, stop: make(chan struct{})}
	w.counting.Go(w.run)
	return w
}

func (w *Watcher) run() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(usageInterval):
			w.most = max(w.most, descriptors(w.pid))
		}
	}
}

// Peak ends the counting, counts once more and returns the peaks since the process was
// started. It returns an error if the process has ended.
func (w *Watcher) Peak() (Usage, error) {
	close(w.stop)
	w.counting.Wait()
	memory, err := peakMemory(w.pid)
	return Usage{Memory: memory, Descriptors: max(w.most, descriptors(w.pid))}, err
}

func descriptors(pid int) int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0 // the process has ended, which peakMemory reports
	}
	return len(open)
}

// peakMemory returns the peak resident memory of a running process in bytes.
func peakMemory(pid int) (int64, error) {
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer status.Close() //nolint:errcheck // read only
	lines := bufio.NewScanner(status)
	for lines.Scan() {
		value, ok := strings.CutPrefix(lines.Text(), "VmHWM:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("process %d has ended", pid) // a zombie has no such line
}

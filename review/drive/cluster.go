//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"dandelionrelay/platform/standin"
)

// program is the command of the deploy file.
var program = []string{"target/dandelionrelay", "gateway"}

// host is the host of all routes.
const host = "h.example"

// cluster is a small deployment: a store, workers and entries.
type cluster struct {
	record    *record
	dir       string
	store     *standin.Store
	storeAddr string
	entries   []*entry
	workers   []*worker
	version   int
}

// entry is one process of the system.
type entry struct {
	name, zone            string
	callers, ready, peers string
	metrics, storeAddr    string
	settingsFile, logFile string
	cmd                   *exec.Cmd
	exited                chan struct{}
	cluster               *cluster
}

func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	cl := &cluster{record: r, dir: dir, store: standin.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cl.storeAddr = l.Addr().String()
	s := &http.Server{Handler: cl.store}
	go func() { _ = s.Serve(l) }()
	return cl, nil
}

// Ports of entries lie below those that the kernel gives to outgoing connections.
const firstPort, lastPort = 12000, 30000

// freeAddr returns a loopback address with a port that is free for TCP and UDP.
func freeAddr() (string, error) {
	for range 50 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr, nil
	}
	return "", fmt.Errorf("no free port")
}

// addEntry starts one entry. storeAddr is the address at which it reaches the store.
func (cl *cluster) addEntry(zone, storeAddr string) (*entry, error) {
	e := &entry{cluster: cl, name: fmt.Sprintf("edge-%s-%d", zone, len(cl.entries)+1), zone: zone, storeAddr: storeAddr}
	for _, addr := range []*string{&e.callers, &e.ready, &e.peers, &e.metrics} {
		a, err := freeAddr()
		if err != nil {
			return nil, err
		}
		*addr = a
	}
	settings, err := json.MarshalIndent(map[string]any{
		"id": e.name, "data_centre": zone, "callers_addr": e.callers, "ready_addr": e.ready, "metrics_addr": e.metrics,
		"peers_addr": e.peers, "store_addr": storeAddr, "store_parts": 12, "call_bytes": 2097152, "record_bytes": 262144,
		"withdrawal_bound": "5000ms", "limit_window": "5s", "limit_excess": 0.1, "limit_slack": 20, "keep_jobs": "120s",
		"region": "r", "regions": map[string]string{"za": "r", "zb": "r", "zc": "r"}, "end_grace": "8s", "log_level": "info",
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	e.settingsFile = filepath.Join(cl.dir, e.name+".json")
	e.logFile = filepath.Join(cl.dir, e.name+".log")
	if err := os.WriteFile(e.settingsFile, settings, 0o600); err != nil {
		return nil, err
	}
	cl.entries = append(cl.entries, e)
	return e, e.start()
}

func (e *entry) start() error {
	log, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(program[0], program[1:]...)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONRELAY_CONFIG=" + e.settingsFile}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	// The entry ends with this process, however that ends.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
	e.cluster.record.printf("entry %s starts, for callers at %s", e.name, e.callers)
	return nil
}

// isReady reports whether the entry says that it is ready.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (cl *cluster) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range cl.entries {
			if e.isReady() {
				n++
			}
		}
		if n == len(cl.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %v", d)
}

// addWorker starts a worker.
func (cl *cluster) addWorker(w *worker) error {
	w.record, w.store = cl.record, cl.store
	cl.workers = append(cl.workers, w)
	return w.start()
}

// customer is a customer of the configuration.
type customer struct {
	name string
	keys []string
}

// route returns a route of the configuration, which leads to targets (services and weights).
func route(name, prefix, kind string, resumable bool, attempts int, targets ...any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000, "goalMs": 300, "gapTargetMs": 400,
		"priority": 0, "attempts": attempts, "public": false, "sticky": true, "resumable": resumable,
	}
	if kind == "batch" {
		r["timeoutMs"], r["goalMs"], r["priority"] = 15000, 400, 2
		r["runTargetMs"], r["retainS"], r["maxCount"] = 18000, 120, 820000
	}
	if len(targets) == 1 {
		r["service"] = targets[0]
		return r
	}
	var split []any
	for i := 0; i < len(targets); i += 2 {
		split = append(split, map[string]any{"service": targets[i], "weight": targets[i+1]})
	}
	r["trafficSplit"] = split
	return r
}

// configure writes the next version of the configuration.
func (cl *cluster) configure(services []string, customers []customer, routes ...map[string]any) error {
	cl.version += 3
	var list, holders []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}})
	}
	for _, c := range customers {
		holders = append(holders, map[string]any{"name": c.name, "apiKeys": c.keys, "priority": 1, "ratePerS": 500, "burst": 500})
	}
	value, err := json.Marshal(map[string]any{
		"version": cl.version, "routes": routes, "services": list, names.Customers: holders,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	cl.record.printf("the operator writes version %d of the configuration", cl.version)
	return cl.store.Put("op", "config", value)
}

// close ends all processes and removes the temporary folder.
func (cl *cluster) close() {
	for _, e := range cl.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, w := range cl.workers {
		w.stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(cl.dir, keep)
	}
	_ = os.RemoveAll(cl.dir)
}

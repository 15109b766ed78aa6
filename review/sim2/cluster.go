//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Ports, the same on all machines, which differ in their addresses.
const (
	portFront = 8689
	portReady = 8687
	portPeers = 7360
	portStore = 8688
	portApp   = 8685
)

// Names in the configuration.
const (
	host      = "nony24.example"
	service   = "huvo11a"
	batchPath = "/pule252/"
)

// customer is a customer with its key.
type customer struct{ name, key string }

// customers are the customers of the configuration.
var customers = []customer{{"kaje80", "i9n73hh2b9wu3fexd9dn"}, {"bora17", "q4m81zt6c0ws9prkx2vd"}, {"nuve62", "z7d03kfy5hq1mtw8bx4c"}}

// cluster is a small deployment.
type cluster struct {
	net       string // the first three numbers of its addresses
	dir       string // temporary
	store     *store
	gateways  []*process
	workers   []*process
	closeOnce sync.Once
	closers   []func()
	started   time.Time

	mu     sync.Mutex
	record *os.File
}

// process is a process of the deployment.
type process struct {
	name string
	ip   string
	args []string
	env  string
	log  string
	cmd  *exec.Cmd
}

func newCluster(recordPath string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: record, store: newStore(), started: time.Now()}
	c.closers = append(c.closers, func() { _ = os.RemoveAll(dir) })
	for range 20 {
		c.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", c.addr(1, portStore))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: c.store}
		go func() { _ = server.Serve(l) }()
		c.closers = append(c.closers, func() { _ = server.Close() })
		return c, nil
	}
	return nil, errors.New("no free address")
}

func (c *cluster) ip(last int) string         { return fmt.Sprintf("%s.%d", c.net, last) }
func (c *cluster) addr(last, port int) string { return fmt.Sprintf("%s.%d:%d", c.net, last, port) }

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%7.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.closeOnce.Do(func() {
		for _, p := range append(c.gateways, c.workers...) {
			p.kill()
		}
		for _, f := range c.closers {
			f()
		}
	})
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// zone returns the zone of machine i.
func zone(i int) string { return "rw-central-" + string(rune('a'+i%3)) }

// startGateways starts gateways with the command of the deploy file, and settings as its
// template gives them for the sheet of the small deployment.
func (c *cluster) startGateways(n int) error {
	for i := range n {
		name := fmt.Sprintf("edge-%s-%d", zone(i), 1+i/3)
		settings, err := json.Marshal(map[string]any{
			"id": name, "data_centre": zone(i), "callers_addr": c.addr(10+i, portFront), "ready_addr": c.addr(10+i, portReady),
			"metrics_addr": c.addr(10+i, 9464), "peers_addr": c.addr(10+i, portPeers), "store_addr": c.addr(1, portStore),
			"store_parts": 12, "call_bytes": 2097152, "record_bytes": 262144, "withdrawal_bound": "5000ms", "limit_window": "5s",
			"limit_excess": 0.1, "limit_slack": 20, "keep_jobs": "120s", "region": "rw-central",
			"regions":   map[string]string{"rw-central-a": "rw-central", "rw-central-b": "rw-central", "rw-central-c": "rw-central"},
			"end_grace": "8s", "log_level": "info",
		})
		if err != nil {
			return err
		}
		path := filepath.Join(c.dir, name+".json")
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return err
		}
		p := &process{name: name, ip: c.ip(10 + i), args: []string{"target/dandelionrelay", "gateway"},
			env: "DANDELIONRELAY_CONFIG=" + path, log: filepath.Join(c.dir, name+".log")}
		if err := p.start(); err != nil {
			return err
		}
		c.gateways = append(c.gateways, p)
	}
	return nil
}

// startWorkers starts worker processes with the given settings, of which it sets the names.
func (c *cluster) startWorkers(n int, s workerSettings) error {
	for i := range n {
		s.ID = fmt.Sprintf("i-%08x", 0x7f3a0000+i)
		s.Address, s.Zone, s.Store = c.addr(100+i, portApp), zone(i), c.addr(1, portStore)
		s.Service, s.Log = service, filepath.Join(c.dir, "runs.log")
		b, err := json.Marshal(s)
		if err != nil {
			return err
		}
		path := filepath.Join(c.dir, s.ID+".json")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			return err
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		p := &process{name: s.ID, ip: c.ip(100 + i), args: []string{self, "worker", path}, env: "REVIEW=1", log: filepath.Join(c.dir, s.ID+".log")}
		if err := p.start(); err != nil {
			return err
		}
		c.workers = append(c.workers, p)
	}
	return nil
}

// configure writes a configuration with one resumable streaming route and one batch route.
func (c *cluster) configure(version int) {
	route := func(name, prefix, kind string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "public": false, "sticky": true, "priority": 0}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	var withKeys []any
	for _, t := range customers {
		withKeys = append(withKeys, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "ratePerS": 46, "burst": 46})
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/lohu930/", "streaming", map[string]any{"timeoutMs": 5000, "goalMs": 300, "attempts": 2, "resumable": true, "gapTargetMs": 400}),
			route("r-batch", batchPath, "batch", map[string]any{"timeoutMs": 15000, "goalMs": 400, "attempts": 3, "resumable": true, "gapTargetMs": 400,
				"runTargetMs": 18000, "retainS": 60, "maxCount": 820000}),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8}}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  withKeys,
	})
	if err != nil {
		panic(err)
	}
	c.store.put(names.Topics.Configuration, "config", string(b))
	c.note("the operator's configuration %d is acknowledged", version)
}

// awaitReady waits until all gateways are ready.
func (c *cluster) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range c.gateways {
			r, err := http.Get("http://" + net.JoinHostPort(p.ip, fmt.Sprint(portReady)) + names.Paths.Ready)
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.gateways) {
			return nil
		}
	}
	return errors.New("the gateways did not become ready")
}

// call makes a call to gateway i on a new connection.
func (c *cluster) call(i int, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+net.JoinHostPort(c.gateways[i].ip, fmt.Sprint(portFront))+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+customers[0].key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close() //nolint:errcheck // it is read to its end
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, b, err
}

// batchResult is the result of an item as a client reads it.
type batchResult struct {
	ID, State, Output string
}

// submit submits a batch job of a customer, again after each failure, and returns the IDs of its
// items, each with 540 tokens in and up to the given number out.
func (c *cluster) submit(t customer, job string, items, tokensOut int) ([]string, error) {
	return c.submitTo(rand.IntN(len(c.gateways)), t, job, items, 540, tokensOut)
}

// submitTo is submit with the first attempt at gateway first.
func (c *cluster) submitTo(first int, t customer, job string, items, tokensIn, tokensOut int) ([]string, error) {
	var ids []string
	var entries []any
	for i := range items {
		id := fmt.Sprintf("%x%04x", sha256.Sum256([]byte(job)), i)[52:]
		ids = append(ids, id)
		entries = append(entries, map[string]any{"id": id, "path": batchPath + "3/" + id, "tokenCount": tokensIn + tokensOut,
			"headers": map[string]string{names.Headers.Model: "m", names.Headers.Tokens: fmt.Sprintf("%d,%d", tokensIn, tokensOut), names.Headers.Parts: "9c2e41:300,5d07b8:240"},
			"body":    base64.StdEncoding.EncodeToString([]byte("ledger " + id))})
	}
	body, err := json.Marshal(map[string]any{"entries": entries})
	if err != nil {
		return nil, err
	}
	for try := first; try < first+10; try++ {
		status, _, err := c.call(try%len(c.gateways), http.MethodPost, batchPath+job,
			map[string]string{names.Headers.ID: job, "Content-Type": "application/json", names.Headers.Deadline: "4000", "Authorization": "Bearer " + t.key}, body)
		c.note("batch job %s with %d items sent to %s: %d %v", job, items, c.gateways[try%len(c.gateways)].name, status, err)
		if status == http.StatusAccepted {
			return ids, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, errors.New("the batch job was not accepted")
}

// readAll reads the results of a job until all items are listed or the time is over.
func (c *cluster) readAll(t customer, job string, items int, limit time.Duration) []batchResult {
	var results []batchResult
	for end := time.Now().Add(limit); len(results) < items && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		i := rand.IntN(len(c.gateways))
		status, b, err := c.call(i, http.MethodGet, fmt.Sprintf("%s%s?after=%d", names.Paths.Jobs, job, len(results)), map[string]string{"Authorization": "Bearer " + t.key}, nil)
		var page struct {
			Results []batchResult `json:"results"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(b, &page) != nil {
			c.note("read of batch job %s at %s: %d %v", job, c.gateways[i].name, status, err)
			continue
		}
		results = append(results, page.Results...)
	}
	return results
}

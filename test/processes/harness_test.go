package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/infra"
	"dandelionrelay/infra/client"
	"dandelionrelay/settings"
	standin "dandelionrelay/standin/platform"
)

// waitTimeout is the timeout of each wait for a process. It is long, as these tests
// do not check latencies.
const waitTimeout = 60 * time.Second

// systems counts the systems created by this test process.
var systems atomic.Uint32

// system is a set of processes with the settings of the local example, in which
// the ports are kept and the host is replaced by a loopback address that only
// this system uses.
type system struct {
	*WithT
	t       *testing.T
	dir     string
	binary  string
	host    string
	running map[string]*exec.Cmd
}

// newSystem builds the binary and copies the settings; it starts no process of the
// system.
func newSystem(t *testing.T) *system {
	s := &system{
		WithT: NewWithT(t), t: t, dir: t.TempDir(),
		host: uniqueHost(), running: make(map[string]*exec.Cmd),
	}
	s.binary = filepath.Join(s.dir, "dandelionrelay")
	out, err := exec.Command("go", "build", "-o", s.binary, "dandelionrelay/cmd/dandelionrelay").CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), string(out))
	paths, err := filepath.Glob("../../examples/local/*.json")
	s.Expect(err).NotTo(HaveOccurred())
	for _, path := range paths {
		s.copySettings(path)
	}
	s.Expect(os.CopyFS(filepath.Join(s.dir, "config"), os.DirFS("../../examples/local/config"))).To(Succeed())
	t.Cleanup(s.stop)
	return s
}

// uniqueHost returns a loopback address that depends on the process ID and on the
// number of the system, so that tests that run at the same time use different ones.
// A free port of 127.0.0.1 could be taken by another test or by an outgoing connection
// before the process listens on it. The ports of the example are below the range of
// outgoing connections.
func uniqueHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+systems.Add(1), pid>>8&0xff, 1+pid&0xff%254)
}

// copySettings copies a settings file and replaces its host.
func (s *system) copySettings(path string) {
	text, err := os.ReadFile(path)
	s.Expect(err).NotTo(HaveOccurred())
	text = bytes.ReplaceAll(text, []byte("127.0.0.1:"), []byte(s.host+":"))
	s.Expect(os.WriteFile(filepath.Join(s.dir, filepath.Base(path)), text, 0o600)).To(Succeed())
}

// addr returns the address of a port of the example on the system's host. The ports
// are 7100 (platform), 7110, 7120 and 7130 (endpoints), 71N1 and 71N3 (where sidecar
// N serves entries and operators), and 7201 to 7203 and 7211 to 7213 (where entries 1
// and 2 serve callers, peers and operators).
func (s *system) addr(port int) string { return fmt.Sprintf("%s:%d", s.host, port) }

// url returns the URL of a path at a port of the example on the system's host.
func (s *system) url(port int, path string) string { return "http://" + s.addr(port) + path }

// start starts a command of the binary as a process; its output goes to NAME.log.
func (s *system) start(name string, args ...string) {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	s.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(s.binary, args...)
	cmd.Dir = s.dir
	cmd.Stdout = log
	cmd.Stderr = log
	s.Expect(cmd.Start()).To(Succeed())
	s.running[name] = cmd
}

// startAll starts the whole local example and waits until it is ready.
func (s *system) startAll() {
	s.start("platform", "standin", "platform", "--settings", "platform.json")
	s.start("engine-1", "standin", "engine", "--settings", "engine-1.json")
	s.start("engine-2", "standin", "engine", "--settings", "engine-2.json")
	s.start("pickups", "standin", "plain", "--addr", s.addr(7130))
	s.awaitOK(s.url(7100, client.PathInstances))
	for n := 1; n <= 3; n++ {
		s.start(fmt.Sprintf("sidecar-%d", n), "sidecar", "--settings", fmt.Sprintf("sidecar-%d.json", n))
	}
	for n := 1; n <= 2; n++ {
		s.start(fmt.Sprintf("entry-%d", n), "entry", "--settings", fmt.Sprintf("entry-%d.json", n))
	}
	s.awaitOK(s.url(7203, "/healthz"))
	s.command("apply", "config", "--server", s.url(7203, ""))
	for _, port := range []int{7203, 7213, 7113, 7123, 7133} {
		s.awaitOK(s.url(port, "/readyz"))
	}
}

// command runs an operator's command to its end and returns its output.
func (s *system) command(args ...string) string {
	cmd := exec.Command(s.binary, args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "DANDELIONRELAY_TOKEN=local-operator")
	out, err := cmd.CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), "%v: %s", args, out)
	return string(out)
}

// awaitOK waits until a GET of url returns status 200.
func (s *system) awaitOK(url string) {
	s.t.Helper()
	s.Eventually(func() (int, error) {
		resp, err := http.Get(url)
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}, waitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK), url)
}

// kill kills a process and waits for it.
func (s *system) kill(name string) {
	cmd := s.running[name]
	delete(s.running, name)
	s.Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait()
}

// terminate sends SIGTERM to a process, waits for it and reports whether its exit
// status was 0.
func (s *system) terminate(name string) bool {
	cmd := s.running[name]
	delete(s.running, name)
	s.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	return cmd.Wait() == nil
}

// pause sends SIGSTOP to a process. The function that it returns continues the
// process.
func (s *system) pause(name string) (resume func()) {
	cmd := s.running[name]
	s.Expect(cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	return func() { s.Expect(cmd.Process.Signal(syscall.SIGCONT)).To(Succeed()) }
}

// stop kills all processes and prints their logs if the test failed.
func (s *system) stop() {
	for name := range s.running {
		s.kill(name)
	}
	if !s.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		s.t.Logf("%s:\n%s", filepath.Base(path), text)
	}
}

// updateInstances replaces the platform's instance list with the result of change,
// which gets the list of the example's settings.
func (s *system) updateInstances(change func([]infra.Instance) []infra.Instance) {
	p, err := settings.LoadPlatform(filepath.Join(s.dir, "platform.json"))
	s.Expect(err).NotTo(HaveOccurred())
	s.put(client.PathInstances, client.InstanceList{Instances: change(p.Instances)})
}

// setFaults sets the faults of the platform.
func (s *system) setFaults(f standin.FaultSettings) { s.put(standin.PathFaults, f) }

// put sends a PUT with v as JSON to the stand-in platform.
func (s *system) put(path string, v any) {
	body, err := json.Marshal(v)
	s.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, s.url(7100, path), bytes.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	status, text := s.do(req)
	s.Expect(status).To(Equal(http.StatusOK), text)
}

// send sends a customer's request and returns the status and the body of the
// response.
func (s *system) send(method string, port int, path, key, body string) (int, string) {
	req, err := http.NewRequest(method, s.url(port, path), strings.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if strings.HasSuffix(path, "/batches") {
		req.Header.Set("Content-Type", "application/jsonl")
	}
	return s.do(req)
}

// do sends a request and returns the status and the body of the response.
func (s *system) do(req *http.Request) (int, string) {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(req)
	s.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(text)
}

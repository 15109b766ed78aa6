package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/platform"
	"dandelionrelay/platform/client"
	"dandelionrelay/settings"
	standin "dandelionrelay/standin/platform"
)

// patience bounds each wait for a process; tests assert no speed.
const patience = 60 * time.Second

// system is a set of processes on loopback with settings made from the local
// example, each address replaced by a free one.
type system struct {
	*WithT
	t       *testing.T
	dir     string
	binary  string
	ports   map[string]string // address in the example -> address here
	running map[string]*exec.Cmd
}

func newSystem(t *testing.T) *system {
	s := &system{
		WithT: NewWithT(t), t: t, dir: t.TempDir(),
		ports: make(map[string]string), running: make(map[string]*exec.Cmd),
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

// copySettings copies a settings file with its addresses replaced.
func (s *system) copySettings(path string) {
	text, err := os.ReadFile(path)
	s.Expect(err).NotTo(HaveOccurred())
	for port := 7100; port < 7220; port++ {
		example := fmt.Sprintf("127.0.0.1:%d", port)
		if bytes.Contains(text, []byte(example)) {
			text = bytes.ReplaceAll(text, []byte(example), []byte(s.addr(port)))
		}
	}
	s.Expect(os.WriteFile(filepath.Join(s.dir, filepath.Base(path)), text, 0o600)).To(Succeed())
}

// addr returns the address that stands for a port of the example.
func (s *system) addr(port int) string {
	example := fmt.Sprintf("127.0.0.1:%d", port)
	if known, ok := s.ports[example]; ok {
		return known
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	s.ports[example] = l.Addr().String()
	s.Expect(l.Close()).To(Succeed())
	return s.ports[example]
}

// url returns the URL that stands for a port of the example.
func (s *system) url(port int, path string) string { return "http://" + s.addr(port) + path }

// start runs a verb as a process.
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

// startAll runs the whole local example and waits until it is ready.
func (s *system) startAll() {
	s.start("platform", "standin", "platform", "--settings", "platform.json")
	s.start("engine-1", "standin", "engine", "--settings", "engine-1.json")
	s.start("engine-2", "standin", "engine", "--settings", "engine-2.json")
	s.start("pickups", "standin", "plain", "--addr", s.addr(7130))
	s.answers(s.url(7100, client.PathInstances))
	for n := 1; n <= 3; n++ {
		s.start(fmt.Sprintf("sidecar-%d", n), "sidecar", "--settings", fmt.Sprintf("sidecar-%d.json", n))
	}
	for n := 1; n <= 2; n++ {
		s.start(fmt.Sprintf("entry-%d", n), "entry", "--settings", fmt.Sprintf("entry-%d.json", n))
	}
	s.answers(s.url(7203, "/healthz"))
	s.verb("apply", "config", "--server", s.url(7203, ""))
	for _, port := range []int{7203, 7213, 7113, 7123, 7133} {
		s.answers(s.url(port, "/readyz"))
	}
}

// verb runs an operator's verb to its end and returns what it printed.
func (s *system) verb(args ...string) string {
	cmd := exec.Command(s.binary, args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "DANDELIONRELAY_TOKEN=local-operator")
	out, err := cmd.CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), "%v: %s", args, out)
	return string(out)
}

// answers waits until url is answered with 200.
func (s *system) answers(url string) {
	s.t.Helper()
	s.Eventually(func() (int, error) {
		resp, err := http.Get(url)
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}, patience, 20*time.Millisecond).Should(Equal(http.StatusOK), url)
}

// kill ends a process at once.
func (s *system) kill(name string) {
	cmd := s.running[name]
	delete(s.running, name)
	s.Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait()
}

// leave asks a process to end, waits for it and returns whether it ended well.
func (s *system) leave(name string) bool {
	cmd := s.running[name]
	delete(s.running, name)
	s.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	return cmd.Wait() == nil
}

// pause stops a process; the function that it returns continues it.
func (s *system) pause(name string) (resume func()) {
	cmd := s.running[name]
	s.Expect(cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	return func() { s.Expect(cmd.Process.Signal(syscall.SIGCONT)).To(Succeed()) }
}

// stop ends all processes and prints their logs if the test failed.
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

// list replaces the platform's instance list.
func (s *system) list(change func([]platform.Instance) []platform.Instance) {
	p, err := settings.LoadPlatform(filepath.Join(s.dir, "platform.json"))
	s.Expect(err).NotTo(HaveOccurred())
	s.put(client.PathInstances, client.InstanceList{Instances: change(p.Instances)})
}

// faults sets the faults of the platform.
func (s *system) faults(f standin.FaultSettings) { s.put(standin.PathFaults, f) }

func (s *system) put(path string, v any) {
	body, err := json.Marshal(v)
	s.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, s.url(7100, path), bytes.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	status, text := s.do(req)
	s.Expect(status).To(Equal(http.StatusOK), text)
}

// send makes a customer's request and returns the answer.
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

func (s *system) do(req *http.Request) (int, string) {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(req)
	s.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(text)
}

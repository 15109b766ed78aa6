package processes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// validFor is how long the certificates of a test are valid.
const validFor = time.Hour

// authority signs the certificates of one test.
type authority struct {
	s    *system
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority makes a CA, whose certificate is the file NAME.pem.
func (s *system) newAuthority(name string) *authority {
	a := &authority{s: s, name: name, key: s.newKey()}
	template := s.template(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a.cert = a.sign(template, template, a.key)
	return a
}

func (s *system) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	s.Expect(err).NotTo(HaveOccurred())
	return key
}

func (s *system) template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validFor),
		NotAfter:     time.Now().Add(validFor),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// sign writes the certificate made from template to a file and returns it.
func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	a.s.Expect(err).NotTo(HaveOccurred())
	a.s.writePEM(template.Subject.CommonName+".pem", "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	a.s.Expect(err).NotTo(HaveOccurred())
	return cert
}

// issue writes a certificate NAME.pem and its key NAME.key.
func (a *authority) issue(name string) {
	key := a.s.newKey()
	a.sign(a.s.template(name), a.cert, key)
	der, err := x509.MarshalECPrivateKey(key)
	a.s.Expect(err).NotTo(HaveOccurred())
	a.s.writePEM(name+".key", "EC PRIVATE KEY", der)
}

func (s *system) writePEM(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	s.Expect(os.WriteFile(filepath.Join(s.dir, name), text, 0o600)).To(Succeed())
}

// trust makes the file NAME.pem of the authorities' certificates.
func (s *system) trust(name string, all ...*authority) {
	var text []byte
	for _, a := range all {
		one, err := os.ReadFile(filepath.Join(s.dir, a.name+".pem"))
		s.Expect(err).NotTo(HaveOccurred())
		text = append(text, one...)
	}
	s.Expect(os.WriteFile(filepath.Join(s.dir, name+".pem"), text, 0o600)).To(Succeed())
}

// secure gives a process the certificate NAME and has it trust those in the
// file TRUSTED.pem.
func (s *system) secure(process, name, trusted string) {
	path := filepath.Join(s.dir, process+".json")
	text, err := os.ReadFile(path)
	s.Expect(err).NotTo(HaveOccurred())
	var fields map[string]any
	s.Expect(json.Unmarshal(text, &fields)).To(Succeed())
	fields["tls"] = map[string]string{
		"cert_file": name + ".pem", "key_file": name + ".key", "ca_file": trusted + ".pem",
	}
	text, err = json.Marshal(fields)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
}

// peers are the processes that authenticate each other.
var peers = []string{"entry-1", "entry-2", "sidecar-1", "sidecar-2", "sidecar-3"}

// restart has a process leave and starts it again with its settings.
func (s *system) restart(name string) {
	s.Expect(s.leave(name)).To(BeTrue())
	role, _, _ := strings.Cut(name, "-")
	s.start(name, role, "--settings", name+".json")
}

// client returns an HTTP client that shows the certificate NAME, or none.
func (s *system) client(name string) *http.Client {
	config := &tls.Config{InsecureSkipVerify: true} // the test is about what the server accepts
	if name != "" {
		path := filepath.Join(s.dir, name)
		cert, err := tls.LoadX509KeyPair(path+".pem", path+".key")
		s.Expect(err).NotTo(HaveOccurred())
		config.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
}

// TestPeersWithoutTheRightCertificateAreRefused runs the whole example with
// mutual TLS, calls a sidecar as an intruder would, and has a process with a
// certificate of another CA try to take part.
func TestPeersWithoutTheRightCertificateAreRefused(t *testing.T) {
	s := newSystem(t)
	ours, other := s.newAuthority("ca"), s.newAuthority("other-ca")
	ours.issue("peer")
	other.issue("intruder")
	for _, name := range peers {
		s.secure(name, "peer", "ca")
	}
	s.startAll()

	s.served(7201)
	s.served(7211)
	results := s.results(7211, s.submit(7201, batchLine("a")+batchLine("b")))
	s.Expect(strings.Count(results, `"custom_id"`)).To(Equal(2))

	// The sidecar's and the entry's addresses for peers.
	for _, port := range []int{7111, 7202} {
		url := "https://" + s.addr(port) + "/v1/chat/completions"
		for _, name := range []string{"", "intruder"} {
			_, err := s.client(name).Post(url, "application/json", strings.NewReader(chat))
			s.Expect(err).To(HaveOccurred(), "%d %q", port, name)
		}
		// A plain-text caller gets no more than a refusal of the handshake.
		resp, err := http.Post(s.url(port, "/v1/chat/completions"), "application/json", strings.NewReader(chat))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			s.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest), string(text))
		}
	}

	// With the right one the handshake succeeds: it is the certificate alone
	// that the intruder lacks.
	resp, err := s.client("peer").Post("https://"+s.addr(7111)+"/", "application/json", strings.NewReader(chat))
	s.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()

	// An entry with the other CA's certificate reaches no sidecar and no peer.
	s.secure("entry-2", "intruder", "other-ca")
	s.restart("entry-2")
	s.answers(s.url(7213, "/healthz"))
	s.never(7211)
	s.served(7201)

	// An intruder in the place of the sidecars gets no request of an entry that
	// trusts our CA alone.
	s.kill("entry-2")
	s.kill("sidecar-1")
	s.kill("sidecar-2")
	seen := s.impersonate("intruder", 7111, 7121)
	s.never(7201)
	s.Expect(seen.Load()).To(BeZero())
}

// impersonate answers at addresses of the example with the certificate NAME
// and counts the requests that come.
func (s *system) impersonate(name string, ports ...int) *atomic.Int64 {
	path := filepath.Join(s.dir, name)
	cert, err := tls.LoadX509KeyPair(path+".pem", path+".key")
	s.Expect(err).NotTo(HaveOccurred())
	seen := new(atomic.Int64)
	for _, port := range ports {
		l, err := tls.Listen("tcp", s.addr(port), &tls.Config{Certificates: []tls.Certificate{cert}})
		s.Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) })}
		go func() { _ = server.Serve(l) }()
		s.t.Cleanup(func() { _ = server.Close() })
	}
	return seen
}

// TestCertificatesAreRolledOneProcessAtATime replaces the CA and all
// certificates as OPERATIONS tells, and sends requests through both entries
// after each step.
func TestCertificatesAreRolledOneProcessAtATime(t *testing.T) {
	s := newSystem(t)
	before, after := s.newAuthority("old-ca"), s.newAuthority("new-ca")
	s.trust("both", before, after)
	before.issue("old")
	after.issue("new")
	for _, name := range peers {
		s.secure(name, "old", "old-ca")
	}
	s.startAll()
	s.served(7201)
	for _, step := range []struct{ cert, trusted string }{{"old", "both"}, {"new", "both"}, {"new", "new-ca"}} {
		for _, name := range peers {
			s.secure(name, step.cert, step.trusted)
			s.restart(name)
			s.awaitAll()
			s.served(7201)
			s.served(7211)
		}
	}
	before.issue("late")
	_, err := s.client("late").Post("https://"+s.addr(7111)+"/", "application/json", strings.NewReader(chat))
	s.Expect(err).To(HaveOccurred(), "the old CA is trusted no more")
}

// awaitAll waits until all peers are ready.
func (s *system) awaitAll() {
	for _, port := range []int{7203, 7213, 7113, 7123, 7133} {
		s.answers(s.url(port, "/readyz"))
	}
}

// served wants one chat at an entry to be answered.
func (s *system) served(port int) {
	s.t.Helper()
	status, text := s.send("POST", port, "/v1/chat/completions", gardenKey, chat)
	s.Expect(status).To(Equal(http.StatusOK), text)
}

// never wants an entry to answer no chat for longer than one with the right
// certificate takes to start.
func (s *system) never(port int) {
	s.t.Helper()
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		status, text := s.send("POST", port, "/v1/chat/completions", gardenKey, chat)
		s.Expect(status).NotTo(Equal(http.StatusOK), text)
	}
}

// batchLine returns one item of a batch file.
func batchLine(id string) string {
	return `{"custom_id":"` + id + `","method":"POST","url":"/v1/chat/completions","body":` + chat + "}\n"
}

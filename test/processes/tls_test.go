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

// certificateLifetime is the time before and after the start of a test in which
// its certificates are valid.
const certificateLifetime = time.Hour

// authority signs the certificates of one test.
type authority struct {
	s    *system
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority creates a CA and writes its certificate to NAME.pem.
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
		NotBefore:    time.Now().Add(-certificateLifetime),
		NotAfter:     time.Now().Add(certificateLifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// sign creates a certificate from template, writes it to a file named after its
// subject and returns it.
func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	a.s.Expect(err).NotTo(HaveOccurred())
	a.s.writePEM(template.Subject.CommonName+".pem", "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	a.s.Expect(err).NotTo(HaveOccurred())
	return cert
}

// issue creates a peer's certificate and writes it to NAME.pem and its key to
// NAME.key.
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

// writeCABundle writes the certificates of all authorities to NAME.pem.
func (s *system) writeCABundle(name string, all ...*authority) {
	var text []byte
	for _, a := range all {
		one, err := os.ReadFile(filepath.Join(s.dir, a.name+".pem"))
		s.Expect(err).NotTo(HaveOccurred())
		text = append(text, one...)
	}
	s.Expect(os.WriteFile(filepath.Join(s.dir, name+".pem"), text, 0o600)).To(Succeed())
}

// configureTLS sets the certificate NAME and the CA file TRUSTED.pem in the
// settings of a process.
func (s *system) configureTLS(process, name, trusted string) {
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

// peers are the processes that authenticate each other by mutual TLS.
var peers = []string{"entry-1", "entry-2", "sidecar-1", "sidecar-2", "sidecar-3"}

// restart terminates a process and starts it again with its current settings.
func (s *system) restart(name string) {
	s.Expect(s.terminate(name)).To(BeTrue())
	role, _, _ := strings.Cut(name, "-")
	s.start(name, role, "--settings", name+".json")
}

// client returns an HTTP client that presents the certificate NAME, or none if
// name is empty.
func (s *system) client(name string) *http.Client {
	config := &tls.Config{InsecureSkipVerify: true} // the tests check only what the server accepts
	if name != "" {
		path := filepath.Join(s.dir, name)
		cert, err := tls.LoadX509KeyPair(path+".pem", path+".key")
		s.Expect(err).NotTo(HaveOccurred())
		config.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
}

// TestTLS_RefusesPeersWithoutTrustedCertificate runs the whole example with mutual
// TLS and checks that clients, entries and sidecars without a certificate of the
// trusted CA are refused.
func TestTLS_RefusesPeersWithoutTrustedCertificate(t *testing.T) {
	s := newSystem(t)
	trusted, other := s.newAuthority("ca"), s.newAuthority("other-ca")
	trusted.issue("peer")
	other.issue("intruder")
	for _, name := range peers {
		s.configureTLS(name, "peer", "ca")
	}
	s.startAll()

	s.expectServed(7201)
	s.expectServed(7211)
	results := s.results(7211, s.submit(7201, batchLine("a")+batchLine("b")))
	s.Expect(strings.Count(results, `"custom_id"`)).To(Equal(2))

	// The addresses of a sidecar and of an entry for peers.
	for _, port := range []int{7111, 7202} {
		url := "https://" + s.addr(port) + "/v1/chat/completions"
		for _, name := range []string{"", "intruder"} {
			_, err := s.client(name).Post(url, "application/json", strings.NewReader(chat))
			s.Expect(err).To(HaveOccurred(), "%d %q", port, name)
		}
		// A caller without TLS gets no more than the error of the handshake.
		resp, err := http.Post(s.url(port, "/v1/chat/completions"), "application/json", strings.NewReader(chat))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			s.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest), string(text))
		}
	}

	// With a certificate of the trusted CA the handshake succeeds, so that the
	// refusals above are due to the certificate alone.
	resp, err := s.client("peer").Post("https://"+s.addr(7111)+"/", "application/json", strings.NewReader(chat))
	s.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()

	// An entry with a certificate of the other CA reaches no sidecar and no entry.
	s.configureTLS("entry-2", "intruder", "other-ca")
	s.restart("entry-2")
	s.awaitOK(s.url(7213, "/healthz"))
	s.expectNeverServed(7211)
	s.expectServed(7201)

	// A server at the addresses of the sidecars, with a certificate of the other
	// CA, receives no request of an entry that trusts the first CA alone.
	s.kill("entry-2")
	s.kill("sidecar-1")
	s.kill("sidecar-2")
	requests := s.impersonate("intruder", 7111, 7121)
	s.expectNeverServed(7201)
	s.Expect(requests.Load()).To(BeZero())
}

// impersonate serves at ports of the example with the certificate NAME and counts
// the requests received.
func (s *system) impersonate(name string, ports ...int) *atomic.Int64 {
	path := filepath.Join(s.dir, name)
	cert, err := tls.LoadX509KeyPair(path+".pem", path+".key")
	s.Expect(err).NotTo(HaveOccurred())
	requests := new(atomic.Int64)
	for _, port := range ports {
		l, err := tls.Listen("tcp", s.addr(port), &tls.Config{Certificates: []tls.Certificate{cert}})
		s.Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })}
		go func() { _ = server.Serve(l) }()
		s.t.Cleanup(func() { _ = server.Close() })
	}
	return requests
}

// TestTLS_RotatesCAOneProcessAtATime replaces the CA and all certificates as
// docs/OPERATIONS.md describes, and sends requests through both entries after
// each step.
func TestTLS_RotatesCAOneProcessAtATime(t *testing.T) {
	s := newSystem(t)
	oldCA, newCA := s.newAuthority("old-ca"), s.newAuthority("new-ca")
	s.writeCABundle("both", oldCA, newCA)
	oldCA.issue("old")
	newCA.issue("new")
	for _, name := range peers {
		s.configureTLS(name, "old", "old-ca")
	}
	s.startAll()
	s.expectServed(7201)
	for _, step := range []struct{ cert, trusted string }{{"old", "both"}, {"new", "both"}, {"new", "new-ca"}} {
		for _, name := range peers {
			s.configureTLS(name, step.cert, step.trusted)
			s.restart(name)
			s.awaitAll()
			s.expectServed(7201)
			s.expectServed(7211)
		}
	}
	oldCA.issue("late")
	_, err := s.client("late").Post("https://"+s.addr(7111)+"/", "application/json", strings.NewReader(chat))
	s.Expect(err).To(HaveOccurred(), "the old CA is still trusted")
}

// awaitAll waits until all peers are ready.
func (s *system) awaitAll() {
	for _, port := range []int{7203, 7213, 7113, 7123, 7133} {
		s.awaitOK(s.url(port, "/readyz"))
	}
}

// expectServed expects a chat at an entry to succeed.
func (s *system) expectServed(port int) {
	s.t.Helper()
	status, text := s.send("POST", port, "/v1/chat/completions", gardenKey, chat)
	s.Expect(status).To(Equal(http.StatusOK), text)
}

// expectNeverServed expects every chat at an entry to fail for 4 s, which is longer
// than an entry with a trusted certificate takes to start.
func (s *system) expectNeverServed(port int) {
	s.t.Helper()
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		status, text := s.send("POST", port, "/v1/chat/completions", gardenKey, chat)
		s.Expect(status).NotTo(Equal(http.StatusOK), text)
	}
}

// batchLine returns the line of one item of a batch file.
func batchLine(id string) string {
	return `{"custom_id":"` + id + `","method":"POST","url":"/v1/chat/completions","body":` + chat + "}\n"
}

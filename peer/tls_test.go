package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/peer"
)

// authority signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(g *gomega.WithT) *authority {
	a := &authority{}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a.cert, err = x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return a
}

// security issues a certificate and returns a Security that trusts this
// authority alone.
func (a *authority) security(g *gomega.WithT) *peer.Security {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "peer"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return peer.NewSecurity(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool)
}

// TestSecurity_RefusesPeerOfUntrustedCA checks that a peer with a certificate of
// another CA and one without TLS are refused.
func TestSecurity_RefusesPeerOfUntrustedCA(t *testing.T) {
	g := gomega.NewWithT(t)
	trusted := newAuthority(g)
	server := peer.NewServer()
	server.Register("Echo", &Echo{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	defer listener.Close()
	go server.Serve(trusted.security(g).Listener(listener))

	call := func(s *peer.Security) error {
		pool := peer.NewPool(s.Dialer(peer.DialTCP))
		defer pool.Close()
		var out []byte
		return pool.Call(context.Background(), listener.Addr().String(), "Echo.Say", []byte("x"), &out)
	}
	g.Expect(call(trusted.security(g))).To(gomega.Succeed())
	g.Expect(call(newAuthority(g).security(g))).NotTo(gomega.Succeed())
	var plain *peer.Security
	g.Expect(call(plain)).NotTo(gomega.Succeed())
}

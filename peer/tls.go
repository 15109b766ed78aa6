package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
)

// Security holds the settings of mutual TLS between peers: each process presents
// a certificate that is signed by a trusted CA. A nil Security means plain TCP.
type Security struct {
	server *tls.Config
	client *tls.Config
}

// LoadSecurity reads the certificate and key of this process and the certificates
// of the trusted CAs from PEM files and returns a Security that uses them.
func LoadSecurity(certFile, keyFile, caFile string) (*Security, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, Errors.NewType("bad_certificate").Wrap(err, "load %s", certFile)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, Errors.NewType("bad_certificate").Wrap(err, "load %s", caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Errors.NewType("bad_certificate").New("%s holds no certificate", caFile)
	}
	return NewSecurity(cert, pool), nil
}

// NewSecurity returns the Security of a process that presents cert and trusts
// peers whose certificates are signed by a CA in pool. Both sides require TLS 1.3.
func NewSecurity(cert tls.Certificate, pool *x509.CertPool) *Security {
	certs := []tls.Certificate{cert}
	return &Security{
		server: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: certs,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
		},
		client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: certs,
			// Instances are replaced often and are known by address only, so
			// the certificate chain is verified and the host name is not.
			InsecureSkipVerify: true,
			VerifyConnection: func(state tls.ConnectionState) error {
				return verifyChain(state, pool)
			},
		},
	}
}

// verifyChain checks that the peer's certificate is signed by a CA in pool,
// directly or through the intermediate certificates that the peer presents.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return err
}

// Listener returns a listener that accepts mutual TLS on the connections of l.
func (s *Security) Listener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.server)
}

// Dialer returns a Dialer that completes a mutual TLS handshake on each
// connection of dial.
func (s *Security) Dialer(dial Dialer) Dialer {
	if s == nil {
		return dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		secure := tls.Client(conn, s.client)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secure, nil
	}
}

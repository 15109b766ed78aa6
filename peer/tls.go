package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
)

// Security authenticates peers to each other: every process has a certificate
// that is signed by one CA. A nil Security means plain TCP.
type Security struct {
	server *tls.Config
	client *tls.Config
}

// LoadSecurity reads the PEM files of this process's certificate and key and
// of the CA.
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

// NewSecurity returns the Security of a process with cert among peers whose
// certificates are signed by a CA in pool.
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
			// Instances are replaced all the time and are known by address
			// only, so the chain is verified and the host name is not.
			InsecureSkipVerify: true,
			VerifyConnection: func(state tls.ConnectionState) error {
				return verifyChain(state, pool)
			},
		},
	}
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: between})
	return err
}

// Listener returns l with the handshake of peers on each connection.
func (s *Security) Listener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.server)
}

// Dialer returns dial with the handshake of peers on each connection.
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

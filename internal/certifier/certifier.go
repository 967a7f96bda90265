// Package certifier loads and makes the certificates with which the processes
// of the fleet know each other.
//
// # Usage
//
//	a, err := certifier.NewAuthority("fleet")
//	cert, key, err := a.Issue("regina-a-1")
//	cfg, err := certifier.Mutual("host.crt", "host.key", "authority.crt")
//
// Files are read again when they change, so that a certificate is replaced
// without a restart.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// validity is how long new certificates are valid.
	validity = 365 * 24 * time.Hour
	// recheck is the least time between two looks at the files.
	recheck = 2 * time.Second
	// serverName is the name that all certificates of a fleet carry.
	serverName = "shallotstage"
)

// Authority signs the certificates of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate.
	PEM []byte
}

// NewAuthority makes an authority.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certifier: make key: %w", err)
	}
	t, err := template(name)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("certifier: sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certifier: parse authority: %w", err)
	}
	return &Authority{cert: cert, key: key, PEM: encode("CERTIFICATE", der)}, nil
}

// Issue makes a certificate and its key for a host, in PEM.
func (a *Authority) Issue(host string) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: make key: %w", err)
	}
	t, err := template(host)
	if err != nil {
		return nil, nil, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.DNSNames = []string{serverName, "localhost"}
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: sign certificate: %w", err)
	}
	raw, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: encode key: %w", err)
	}
	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", raw), nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("certifier: make serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(validity),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// reloader holds a certificate and reads its files again when they change.
type reloader struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	looked  time.Time
}

// newReloader loads a certificate once, so that bad files are found at start.
func newReloader(certFile, keyFile string) (*reloader, error) {
	r := &reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fmt.Errorf("certifier: load certificate: %w", err)
	}
	r.cert = &cert
	r.changed = modified(r.certFile)
	return nil
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// get returns the certificate. Files that cannot be read leave the old one in
// use.
func (r *reloader) get() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.looked) > recheck {
		r.looked = time.Now()
		if !modified(r.certFile).Equal(r.changed) {
			_ = r.load()
		}
	}
	return r.cert
}

// Server returns the configuration of a server that anyone may connect to.
func Server(certFile, keyFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil },
	}, nil
}

// Mutual returns the configuration of a process of the fleet, which shows its
// certificate and accepts only those of the fleet's authority.
func Mutual(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	body, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(body) {
		return nil, fmt.Errorf("certifier: %s holds no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: serverName, RootCAs: pool,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get(), nil },
	}, nil
}

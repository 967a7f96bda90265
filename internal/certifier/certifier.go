// Package certifier issues and loads the TLS certificates with which the
// processes of a fleet authenticate each other.
//
// # Usage
//
//	a, err := certifier.NewAuthority("fleet")
//	cert, key, err := a.Issue("regina-a-1")
//	cfg, err := certifier.MutualConfig("host.crt", "host.key", "authority.crt")
//
// A certificate and its key are reloaded when the certificate file changes, so that
// they can be replaced without a restart.
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
	// validity is the validity period of new certificates.
	validity = 365 * 24 * time.Hour
	// checkInterval is the minimum time between two checks for a changed file.
	checkInterval = 2 * time.Second
	// serverName is a DNS name in all certificates of a fleet, which clients
	// verify in place of the host name.
	serverName = "shallotstage"
)

// Authority is the certificate authority of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// CertificatePEM is the certificate of the authority, in PEM.
	CertificatePEM []byte
}

// NewAuthority creates a certificate authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certifier: make key: %w", err)
	}
	t, err := certificateTemplate(name)
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
	return &Authority{cert: cert, key: key, CertificatePEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns a new certificate and its private key for a host, in PEM.
func (a *Authority) Issue(host string) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: make key: %w", err)
	}
	t, err := certificateTemplate(host)
	if err != nil {
		return nil, nil, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.DNSNames = []string{serverName, "localhost"}
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: sign certificate: %w", err)
	}
	raw, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		return nil, nil, fmt.Errorf("certifier: encode key: %w", err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", raw), nil
}

func certificateTemplate(name string) (*x509.Certificate, error) {
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

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// reloader holds a certificate and reloads it when its file changes.
type reloader struct {
	certFile, keyFile string

	mu            sync.Mutex
	cert          *tls.Certificate
	loadedModTime time.Time
	lastCheck     time.Time
}

// newReloader loads the certificate, so that invalid files are reported at start.
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
	r.loadedModTime = modTime(r.certFile)
	return nil
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// get returns the current certificate. If a changed file cannot be loaded, the
// previous certificate stays in use.
func (r *reloader) get() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) > checkInterval {
		r.lastCheck = time.Now()
		if !modTime(r.certFile).Equal(r.loadedModTime) {
			_ = r.load()
		}
	}
	return r.cert
}

// ServerConfig returns the TLS configuration of a server that does not require
// client certificates.
func ServerConfig(certFile, keyFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil },
	}, nil
}

// MutualConfig returns the configuration for mutual TLS between processes of
// the fleet. A process presents its certificate and accepts only peers with a
// certificate from the authority of the fleet.
func MutualConfig(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	authorityPEM, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, fmt.Errorf("certifier: %s holds no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: serverName, RootCAs: pool,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get(), nil },
	}, nil
}

// Package limpettls loads certificates, reloads them when their files change,
// and creates a private certificate authority for the VMs.
package limpettls

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
	"path/filepath"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// A KeyPair is a certificate and its private key, which are reloaded when the
// certificate file changes.
type KeyPair struct {
	mu        sync.Mutex
	certFile  string
	keyFile   string
	lastCheck time.Time
	modTime   time.Time
	cert      *tls.Certificate
	onReload  func(error)
	authority *x509.CertPool
}

const checkPeriod = 2 * time.Second

// Load reads a certificate, its key and, for mutual TLS, the certificate of the
// authority that signs the other side's certificates. An empty authorityFile
// means no mutual TLS. OnReload is called after each later reload, with a nil
// error on success.
func Load(certFile, keyFile, authorityFile string, onReload func(error)) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile, onReload: onReload}
	if err := p.load(); err != nil {
		return nil, err
	}
	if authorityFile == "" {
		return p, nil
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	p.authority = x509.NewCertPool()
	if !p.authority.AppendCertsFromPEM(data) {
		return nil, limpeterror.Invalid.New("authority %s holds no certificate", authorityFile)
	}
	return p, nil
}

func (p *KeyPair) load() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	c, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", p.certFile, err)
	}
	p.cert, p.modTime, p.lastCheck = &c, info.ModTime(), time.Now()
	return nil
}

// certificate returns the current certificate. It checks the file for changes at
// most every checkPeriod; if a changed file cannot be loaded, the previous
// certificate stays in use.
func (p *KeyPair) certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastCheck) < checkPeriod {
		return p.cert
	}
	p.lastCheck = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && info.ModTime().Equal(p.modTime) {
		return p.cert
	}
	if err == nil {
		err = p.load()
	}
	p.onReload(err)
	return p.cert
}

// ServerConfig returns the TLS configuration of a listener. Clients must
// present a certificate if the pair has an authority.
func (p *KeyPair) ServerConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
	if p.authority != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, p.authority
	}
	return c
}

// ClientConfig returns the TLS configuration for calls to other VMs.
func (p *KeyPair) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    p.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.certificate(), nil
		},
	}
}

// NewClientConfig returns the TLS configuration of a client without a
// certificate. It trusts the authority in authorityFile, or the system's
// authorities if that is empty.
func NewClientConfig(authorityFile string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if authorityFile == "" {
		return c, nil
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(data) {
		return nil, limpeterror.Invalid.New("authority %s holds no certificate", authorityFile)
	}
	return c, nil
}

const (
	authorityValidYears = 5
	certValidYears      = 1
	keyFileMode         = 0o600
	certFileMode        = 0o644
	dirMode             = 0o700
)

// Names of the files that CreateAuthority writes.
const (
	AuthorityCertFile = "authority.pem"
	authorityKeyFile  = "authority-key.pem"
)

// CreateAuthority writes the certificate and key of a new private certificate
// authority to a folder, which it creates if needed.
func CreateAuthority(folder string) error {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	template := newTemplate("limpetmount authority", authorityValidYears)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("authority key: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	return writePair(folder, AuthorityCertFile, authorityKeyFile, der, key)
}

// IssueCert writes a certificate for a VM at the given IP addresses, signed by
// the authority in folder, to name.pem and its key to name-key.pem.
func IssueCert(folder, name string, addresses []net.IP) error {
	authority, err := tls.LoadX509KeyPair(filepath.Join(folder, AuthorityCertFile), filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return fmt.Errorf("authority in %s: %w", folder, err)
	}
	template := newTemplate(name, certValidYears)
	template.IPAddresses = addresses
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("key of %s: %w", name, err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.Leaf, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return fmt.Errorf("certificate of %s: %w", name, err)
	}
	return writePair(folder, name+".pem", name+"-key.pem", der, key)
}

func newTemplate(name string, years int) *x509.Certificate {
	const serialBits = 127
	// The error is always nil: rand.Reader never fails.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.AddDate(years, 0, 0),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func writePair(folder, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("key %s: %w", keyName, err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(filepath.Join(folder, keyName), keyPEM, keyFileMode); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(folder, certName), certPEM, certFileMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

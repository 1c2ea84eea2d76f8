// Package limpettls owns certificates: loading them, using changed files
// without a restart, and making a private authority for the VMs.
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

// A Pair holds a certificate whose files are read again when they change.
type Pair struct {
	mu        sync.Mutex
	certFile  string
	keyFile   string
	checked   time.Time
	modified  time.Time
	current   *tls.Certificate
	onReload  func(error)
	authority *x509.CertPool
}

const checkPeriod = 2 * time.Second

// Load reads a certificate, its key and, for mutual TLS, the authority that
// signs the other side's. An empty authority file means no mutual TLS.
// OnReload is told of each later reload; its error is nil on success.
func Load(certFile, keyFile, authorityFile string, onReload func(error)) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, onReload: onReload}
	if err := p.read(); err != nil {
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

func (p *Pair) read() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	c, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", p.certFile, err)
	}
	p.current, p.modified, p.checked = &c, info.ModTime(), time.Now()
	return nil
}

// get returns the current certificate, after a look at the file at most every
// checkPeriod. An unusable new file leaves the former certificate in use.
func (p *Pair) get() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.checked) < checkPeriod {
		return p.current
	}
	p.checked = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && info.ModTime().Equal(p.modified) {
		return p.current
	}
	if err == nil {
		err = p.read()
	}
	p.onReload(err)
	return p.current
}

// Server returns the settings of a listener. Clients must show a certificate
// when the pair has an authority.
func (p *Pair) Server() *tls.Config {
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
	if p.authority != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, p.authority
	}
	return c
}

// Client returns the settings for calling other VMs.
func (p *Pair) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    p.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.get(), nil
		},
	}
}

// ClientOf returns the settings of a client without a certificate, which
// trusts the authority in a file, or the system's when the file is empty.
func ClientOf(authorityFile string) (*tls.Config, error) {
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
	authorityYears = 5
	leafYears      = 1
	privateMode    = 0o600
	publicMode     = 0o644
	folderMode     = 0o700
)

// Names of the files that MakeAuthority and Issue write.
const (
	AuthorityCert = "authority.pem"
	authorityKey  = "authority-key.pem"
)

// MakeAuthority writes a new private authority into a folder.
func MakeAuthority(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	template := newTemplate("limpetmount authority", authorityYears)
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
	return writePair(folder, AuthorityCert, authorityKey, der, key)
}

// Issue writes name.pem and name-key.pem, signed by the authority in folder,
// for a VM at the given IP addresses.
func Issue(folder, name string, addresses []net.IP) error {
	authority, err := tls.LoadX509KeyPair(filepath.Join(folder, AuthorityCert), filepath.Join(folder, authorityKey))
	if err != nil {
		return fmt.Errorf("authority in %s: %w", folder, err)
	}
	template := newTemplate(name, leafYears)
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
	// Int never fails; see crypto/rand.
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
	if err := os.WriteFile(filepath.Join(folder, keyName), keyPEM, privateMode); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(folder, certName), certPEM, publicMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

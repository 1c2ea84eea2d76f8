package limpettls_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpettls"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

// issueCerts creates an authority and a certificate for each name, and returns
// their folder.
func issueCerts(t *testing.T, names ...string) string {
	t.Helper()
	folder := t.TempDir()
	if err := limpettls.CreateAuthority(folder); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if err := limpettls.IssueCert(folder, n, loopback); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func loadPair(t *testing.T, folder, name string, onReload func(error)) *limpettls.KeyPair {
	t.Helper()
	p, err := limpettls.Load(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+"-key.pem"), filepath.Join(folder, limpettls.AuthorityCertFile), onReload)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// handshake connects client and server and returns the errors of both sides.
func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	deadline := time.Now().Add(10 * time.Second)
	_ = a.SetDeadline(deadline)
	_ = b.SetDeadline(deadline)
	var g errgroup.Group
	var serverErr, clientErr error
	g.Go(func() error {
		s := tls.Server(a, server)
		if serverErr = s.Handshake(); serverErr == nil {
			_, serverErr = s.Write([]byte("x"))
		} else {
			_ = a.Close()
		}
		return nil
	})
	c := tls.Client(b, client)
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	} else {
		_ = b.Close()
	}
	_ = g.Wait()
	return errors.Join(serverErr, clientErr)
}

func withServerName(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.ServerName = "127.0.0.1"
	return c
}

func TestMutualTLS(t *testing.T) {
	folder, otherFolder := issueCerts(t, "vm1", "vm2"), issueCerts(t, "vm3")
	ignoreReload := func(error) {}
	server := loadPair(t, folder, "vm1", ignoreReload).ServerConfig()
	anonymous, err := limpettls.NewClientConfig(filepath.Join(folder, limpettls.AuthorityCertFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"a VM of the same authority", loadPair(t, folder, "vm2", ignoreReload).ClientConfig(), true},
		{"a VM of another authority", loadPair(t, otherFolder, "vm3", ignoreReload).ClientConfig(), false},
		{"no certificate", anonymous, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only VMs with a certificate of the authority can connect", t, func() {
				So(handshake(server, withServerName(c.client)) == nil, ShouldEqual, c.ok)
			})
		})
	}
}

func TestReload(t *testing.T) {
	folder := issueCerts(t, "vm1")
	synctest.Test(t, func(t *testing.T) {
		Convey("a changed file is reloaded without a restart, and an invalid one is not used", t, func() {
			var reloads []error
			p := loadPair(t, folder, "vm1", func(err error) { reloads = append(reloads, err) })
			certificate := func() *tls.Certificate {
				c, err := p.ServerConfig().GetCertificate(nil)
				So(err, ShouldBeNil)
				return c
			}
			first := certificate()
			So(limpettls.IssueCert(folder, "vm1", loopback), ShouldBeNil)
			later := time.Now().Add(time.Hour)
			So(os.Chtimes(filepath.Join(folder, "vm1.pem"), later, later), ShouldBeNil)
			So(certificate(), ShouldEqual, first)
			time.Sleep(5 * time.Second)
			second := certificate()
			So(second, ShouldNotEqual, first)
			So(reloads, ShouldResemble, []error{nil})
			So(os.WriteFile(filepath.Join(folder, "vm1.pem"), []byte("broken"), 0o600), ShouldBeNil)
			time.Sleep(5 * time.Second)
			So(certificate(), ShouldEqual, second)
			So(reloads[1], ShouldNotBeNil)
		})
	})
}

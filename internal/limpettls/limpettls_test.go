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

// issue makes an authority with certificates for the given names.
func issue(t *testing.T, names ...string) string {
	t.Helper()
	folder := t.TempDir()
	if err := limpettls.MakeAuthority(folder); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if err := limpettls.Issue(folder, n, loopback); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func load(t *testing.T, folder, name string, onReload func(error)) *limpettls.Pair {
	t.Helper()
	p, err := limpettls.Load(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+"-key.pem"), filepath.Join(folder, limpettls.AuthorityCert), onReload)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// handshake connects client to server and returns both sides' errors.
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

func withName(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.ServerName = "127.0.0.1"
	return c
}

func TestMutualTLS(t *testing.T) {
	folder, foreign := issue(t, "vm1", "vm2"), issue(t, "vm3")
	quiet := func(error) {}
	server := load(t, folder, "vm1", quiet).Server()
	anonymous, err := limpettls.ClientOf(filepath.Join(folder, limpettls.AuthorityCert))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"a VM of the same authority", load(t, folder, "vm2", quiet).Client(), true},
		{"a VM of another authority", load(t, foreign, "vm3", quiet).Client(), false},
		{"no certificate", anonymous, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only VMs of the authority get through", t, func() {
				So(handshake(server, withName(c.client)) == nil, ShouldEqual, c.ok)
			})
		})
	}
}

func TestReload(t *testing.T) {
	folder := issue(t, "vm1")
	synctest.Test(t, func(t *testing.T) {
		Convey("a changed file is used without a restart, a broken one is not", t, func() {
			var reloads []error
			p := load(t, folder, "vm1", func(err error) { reloads = append(reloads, err) })
			get := func() *tls.Certificate {
				c, err := p.Server().GetCertificate(nil)
				So(err, ShouldBeNil)
				return c
			}
			first := get()
			So(limpettls.Issue(folder, "vm1", loopback), ShouldBeNil)
			later := time.Now().Add(time.Hour)
			So(os.Chtimes(filepath.Join(folder, "vm1.pem"), later, later), ShouldBeNil)
			So(get(), ShouldEqual, first)
			time.Sleep(5 * time.Second)
			second := get()
			So(second, ShouldNotEqual, first)
			So(reloads, ShouldResemble, []error{nil})
			So(os.WriteFile(filepath.Join(folder, "vm1.pem"), []byte("broken"), 0o600), ShouldBeNil)
			time.Sleep(5 * time.Second)
			So(get(), ShouldEqual, second)
			So(reloads[1], ShouldNotBeNil)
		})
	})
}

package limpetcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcluster"
)

// cli runs command lines of limpetctl with one configuration file.
type cli struct {
	t      *testing.T
	config string
}

// run returns what a command line printed and its exit code.
func (c cli) run(args ...string) (string, int) {
	c.t.Helper()
	var out bytes.Buffer
	line := CommandLine{Global: Global{Out: &out}}
	parser, err := kong.New(&line, kong.Name("limpetctl"), kong.BindTo(context.Background(), (*context.Context)(nil)), kong.Bind(&line.Global))
	if err != nil {
		c.t.Fatal(err)
	}
	k, err := parser.Parse(append([]string{"--config", c.config}, args...))
	if err != nil {
		return err.Error(), exitUsage
	}
	if err := k.Run(); err != nil {
		return out.String() + err.Error(), ExitCode(err)
	}
	return out.String(), 0
}

// newCLI starts a VM and writes a configuration file that names it after an
// address where nothing listens.
func newCLI(t *testing.T) (cli, *limpetcluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	folder := t.TempDir()
	cluster, err := limpetcluster.New(ctx, limpetcluster.Options{Folder: folder, VMs: 1, Zones: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	if err := cluster.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	key := filepath.Join(folder, "key")
	config := filepath.Join(folder, "limpetctl.ini")
	text := "[limpetctl]\nvms = 127.0.0.1:1, " + cluster.Settings[0].Operator.Address + "\nkey = " + key + "\nauthority = " + cluster.Settings[0].Peer.Authority + "\n"
	for name, content := range map[string]string{key: cluster.OperatorKey + "\n", config: text} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cli{t: t, config: config}, cluster
}

func TestCommands(t *testing.T) {
	ctl, _ := newCLI(t)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"account create desk weight=3 class=live", 0, "in force on 1/1 VMs"},
		{"account create desk", exitFindings, "1:1: account desk exists already"},
		{"account set desk weight=heavy", exitFindings, "must be a number"},
		{"account set desk weight=5 --if weight=4", exitFindings, "it is 3, not 4"},
		{"--dry-run account set desk weight=5", 0, "+ account desk weight=5"},
		{"account list", 0, "desk"},
		{"account set desk weight", exitUsage, "field=value"},
		{"key create k1 --account desk", 0, "lmk_k1_"},
		{"key list", 0, "k1"},
		{"service create records kind=plain path=/records", 0, "in force"},
		{"service list", 0, "/records"},
		{"key withdraw k1", 0, "in force"},
		{"key withdraw k1", exitFindings, "no key k1"},
		{"run show colours", exitFindings, "the tables are"},
		{"run shew", exitFindings, "1:1"},
		{"run create account x; create account x", exitFindings, "exists already"},
		{"status", 0, "vm1"},
		{"server list", 0, "CAPACITY"},
		{"quarantine list", 0, "REQUEST"},
		{"usage windows", 0, "WINDOW"},
		{"key generate k2", 0, ""},
		{"completion", 0, ""},
		{"nonsense", exitUsage, "unexpected argument"},
	} {
		t.Run(c.args, func(t *testing.T) {
			Convey("the output and the exit code are as documented", t, func() {
				out, code := ctl.run(strings.Fields(c.args)...)
				So(code, ShouldEqual, c.code)
				So(out, ShouldContainSubstring, c.want)
			})
		})
	}
	Convey("numbers are numbers in JSON output", t, func() {
		out, code := ctl.run("-o", "json", "account", "list")
		So(code, ShouldEqual, 0)
		var results []struct{ Rows []map[string]any }
		So(json.Unmarshal([]byte(out), &results), ShouldBeNil)
		So(results[0].Rows[0]["weight"], ShouldEqual, 3.0)
	})
	Convey("statements are read from a file", t, func() {
		file := filepath.Join(t.TempDir(), "batch")
		So(os.WriteFile(file, []byte("# a comment\ncreate account a1;\ncreate account a2"), 0o600), ShouldBeNil)
		out, code := ctl.run("run", "-f", file)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "in force on 1/1")
	})
}

func TestFailures(t *testing.T) {
	ctl, cluster := newCLI(t)
	// rewrite returns a cli whose configuration file has old replaced by new once.
	rewrite := func(old, new string) cli {
		data, err := os.ReadFile(ctl.config)
		So(err, ShouldBeNil)
		file := filepath.Join(t.TempDir(), "limpetctl.ini")
		So(os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600), ShouldBeNil)
		return cli{t: t, config: file}
	}
	Convey("an address where no VM answers is reported", t, func() {
		out, code := rewrite(cluster.Settings[0].Operator.Address, "127.0.0.1:2").run("status")
		So(code, ShouldEqual, exitUnreachable)
		So(out, ShouldContainSubstring, "no VM answers")
	})
	Convey("a wrong key is reported as denied", t, func() {
		file := filepath.Join(t.TempDir(), "key")
		So(os.WriteFile(file, []byte("lmk_first_xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"), 0o600), ShouldBeNil)
		_, code := rewrite("key = ", "key = "+file+"\n#").run("status")
		So(code, ShouldEqual, exitDenied)
	})
	Convey("all findings of a configuration file are reported at once", t, func() {
		out, code := rewrite("vms = ", "colour = red\n#").run("status")
		So(code, ShouldEqual, exitFindings)
		So(out, ShouldContainSubstring, "unknown setting")
		So(out, ShouldContainSubstring, "operator addresses")
	})
	Convey("a missing configuration file is reported with the settings it needs", t, func() {
		out, code := cli{t: t, config: "/nonexistent/limpetctl.ini"}.run("status")
		So(code, ShouldEqual, exitUsage)
		So(out, ShouldContainSubstring, "vms, key and authority")
	})
	Convey("a withdrawal while the store is down takes effect and is reported as not yet durable", t, func() {
		_, code := ctl.run("account", "create", "desk")
		So(code, ShouldEqual, 0)
		_, code = ctl.run("key", "create", "k1", "--account", "desk")
		So(code, ShouldEqual, 0)
		cluster.Store.SetDown(true)
		out, code := ctl.run("key", "withdraw", "k1")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "not yet durable")
	})
}

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

	"limpetmount.org/internal/limpetlab"
)

// A terminal runs command lines against one VM.
type terminal struct {
	t      *testing.T
	config string
}

// run returns what a command line printed and its exit code.
func (s terminal) run(args ...string) (string, int) {
	s.t.Helper()
	var out bytes.Buffer
	line := Line{Global: Global{Out: &out}}
	parser, err := kong.New(&line, kong.Name("limpetctl"), kong.BindTo(context.Background(), (*context.Context)(nil)), kong.Bind(&line.Global))
	if err != nil {
		s.t.Fatal(err)
	}
	k, err := parser.Parse(append([]string{"--config", s.config}, args...))
	if err != nil {
		return err.Error(), exitUsage
	}
	if err := k.Run(); err != nil {
		return out.String() + err.Error(), ExitCode(err)
	}
	return out.String(), 0
}

// newTerminal starts a VM and writes a configuration for it.
func newTerminal(t *testing.T) (terminal, *limpetlab.Lab) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	folder := t.TempDir()
	lab, err := limpetlab.New(ctx, limpetlab.Options{Folder: folder, VMs: 1, Zones: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lab.Close)
	if err := lab.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	key := filepath.Join(folder, "key")
	config := filepath.Join(folder, "limpetctl.ini")
	text := "[limpetctl]\nvms = 127.0.0.1:1, " + lab.Settings[0].Operator.Address + "\nkey = " + key + "\nauthority = " + lab.Settings[0].Peer.Authority + "\n"
	for name, content := range map[string]string{key: lab.OperatorKey + "\n", config: text} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return terminal{t: t, config: config}, lab
}

func TestCommands(t *testing.T) {
	s, _ := newTerminal(t)
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
				out, code := s.run(strings.Fields(c.args)...)
				So(code, ShouldEqual, c.code)
				So(out, ShouldContainSubstring, c.want)
			})
		})
	}
	Convey("JSON has typed values", t, func() {
		out, code := s.run("-o", "json", "account", "list")
		So(code, ShouldEqual, 0)
		var results []struct{ Rows []map[string]any }
		So(json.Unmarshal([]byte(out), &results), ShouldBeNil)
		So(results[0].Rows[0]["weight"], ShouldEqual, 3.0)
	})
	Convey("statements come from a file too", t, func() {
		file := filepath.Join(t.TempDir(), "batch")
		So(os.WriteFile(file, []byte("# a comment\ncreate account a1;\ncreate account a2"), 0o600), ShouldBeNil)
		out, code := s.run("run", "-f", file)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "in force on 1/1")
	})
}

func TestFailures(t *testing.T) {
	s, lab := newTerminal(t)
	rewrite := func(old, new string) terminal {
		data, err := os.ReadFile(s.config)
		So(err, ShouldBeNil)
		file := filepath.Join(t.TempDir(), "limpetctl.ini")
		So(os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600), ShouldBeNil)
		return terminal{t: t, config: file}
	}
	Convey("no VM answers", t, func() {
		out, code := rewrite(lab.Settings[0].Operator.Address, "127.0.0.1:2").run("status")
		So(code, ShouldEqual, exitUnreachable)
		So(out, ShouldContainSubstring, "no VM answers")
	})
	Convey("a wrong key", t, func() {
		file := filepath.Join(t.TempDir(), "key")
		So(os.WriteFile(file, []byte("lmk_first_xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"), 0o600), ShouldBeNil)
		_, code := rewrite("key = ", "key = "+file+"\n#").run("status")
		So(code, ShouldEqual, exitDenied)
	})
	Convey("all findings of a configuration together", t, func() {
		out, code := rewrite("vms = ", "colour = red\n#").run("status")
		So(code, ShouldEqual, exitFindings)
		So(out, ShouldContainSubstring, "unknown setting")
		So(out, ShouldContainSubstring, "operator addresses")
	})
	Convey("no configuration", t, func() {
		out, code := terminal{t: t, config: "/nonexistent/limpetctl.ini"}.run("status")
		So(code, ShouldEqual, exitUsage)
		So(out, ShouldContainSubstring, "vms, key and authority")
	})
	Convey("a withdrawal while the store is down is in force, and says so", t, func() {
		_, code := s.run("account", "create", "desk")
		So(code, ShouldEqual, 0)
		_, code = s.run("key", "create", "k1", "--account", "desk")
		So(code, ShouldEqual, 0)
		lab.Store.SetDown(true)
		out, code := s.run("key", "withdraw", "k1")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "not yet durable")
	})
}

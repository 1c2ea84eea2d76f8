package limpetsettings_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetsettings"
)

const validSettings = `[vm]
name = vm1
zone = a
[caller]
address = 127.0.0.1:7000
[peer]
address = 127.0.0.1:7001
cert = c
key = k
authority = a
[operator]
address = 127.0.0.1:7002
[metrics]
address = 127.0.0.1:7003
[platform]
store = http://127.0.0.1:1
orders = http://127.0.0.1:2
usage = http://127.0.0.1:3
vms = http://127.0.0.1:4
[timing]
stall = 7s
`

func TestParse(t *testing.T) {
	Convey("values from the file override defaults", t, func() {
		s, err := limpetsettings.Parse("limpetd.ini", []byte(validSettings))
		So(err, ShouldBeNil)
		So(s.Timing.StallTimeout, ShouldEqual, 7*time.Second)
		So(s.Limits.MaxQueued, ShouldEqual, 256)
		So(s.VM.Zone, ShouldEqual, "a")
	})
}

func TestParseReportsAllFindings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"host name", "127.0.0.1:7000", "localhost:7000", "limpetd.ini:5: [caller] address: must be an IP address"},
		{"missing", "name = vm1\n", "", "limpetd.ini: [vm] name: must be set"},
		{"unknown", "zone = a\n[caller]", "zone = a\ncolour = red\n[caller]", "limpetd.ini:4: [vm] colour: unknown setting"},
		{"unknown section", "[vm]", "[extra]\nx = 1\n[vm]", "limpetd.ini:2: [extra] x: unknown setting"},
		{"bad duration", "stall = 7s", "stall = 7", "limpetd.ini:21: [timing] stall: must be a duration"},
		{"negative", "stall = 7s", "stall = -7s", "must be above 0"},
		{"set twice", "stall = 7s", "stall = 7s\nstall = 8s", "set more than once"},
		{"bad address", "http://127.0.0.1:1", "127.0.0.1:1", "[platform] store: must be an address"},
		{"no INI", "[vm]", "[vm", "limpetd.ini"},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("each finding cites file, line and key, and does not hide a later one", t, func() {
				text := strings.Replace(validSettings, c.old, c.new, 1) + "[log]\nlevel = loud\n"
				_, err := limpetsettings.Parse("limpetd.ini", []byte(text))
				var f *limpeterror.Findings
				So(errors.As(err, &f), ShouldBeTrue)
				So(f.Error(), ShouldContainSubstring, c.want)
				if c.name != "no INI" {
					So(f.Error(), ShouldContainSubstring, "[log] level")
				}
			})
		})
	}
}

func TestReferencePage(t *testing.T) {
	Convey("docs/SETTINGS.md is what limpetd reference prints", t, func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, limpetsettings.Reference())
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = limpetsettings.Parse("f", data) })
}

package limpetlog_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetlog"
)

func TestEmit(t *testing.T) {
	Convey("a line contains the number and the fields of its event", t, func() {
		var b bytes.Buffer
		l, err := limpetlog.New(&b, "info", "json", "vm1")
		So(err, ShouldBeNil)
		l.Emit(limpetlog.RequestCompleted, limpetlog.Account("desk"), limpetlog.Request("r1"))
		l.Emit(limpetlog.ConfigApplied)
		var line struct {
			Event                int
			VM, Account, Request string
		}
		So(json.Unmarshal(b.Bytes(), &line), ShouldBeNil)
		So(line.Event, ShouldEqual, limpetlog.RequestCompleted.Number)
		So(line.VM+line.Account+line.Request, ShouldEqual, "vm1deskr1")
	})
	Convey("an unknown level is rejected", t, func() {
		_, err := limpetlog.New(&bytes.Buffer{}, "loud", "json", "vm1")
		So(err, ShouldNotBeNil)
	})
}

func TestCatalogue(t *testing.T) {
	Convey("docs/EVENTS.md equals the output of limpetd events, and event numbers are unique", t, func() {
		page, err := os.ReadFile("../../docs/EVENTS.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, limpetlog.Reference())
		seen := map[string]bool{}
		for _, line := range strings.Split(string(page), "\n") {
			if cells := strings.Split(line, " | "); len(cells) == 4 && strings.HasPrefix(line, "| 1") {
				So(seen[cells[0]], ShouldBeFalse)
				seen[cells[0]] = true
			}
		}
		So(len(seen), ShouldBeGreaterThan, 30)
	})
}

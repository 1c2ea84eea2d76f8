package limpetcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sampleLog = `  12.1 vm-2 {"event":1713,"item":"i1","job":"j1","msg":"run canceled","server":"e7","time":"2026-01-01T00:00:03.000Z","vm":"vm-2"}
not a line of a log
{"event":1703,"job":"j1","msg":"job taken","time":"2026-01-01T00:00:01.000Z","vm":"vm-1"}
{"event":1712,"item":"i1","job":"j1","msg":"run failed","server":"e3","time":"2026-01-01T00:00:01.500Z","vm":"vm-1"}
{"event":1204,"fence":7,"msg":"lease lost","time":"2026-01-01T00:00:02.000Z","vm":"vm-1"}
{"event":1712,"item":"i2","job":"j1","msg":"run failed","time":"2026-01-01T00:00:02.500Z","vm":"vm-1"}
{"event":1203,"fence":9,"msg":"lease acquired","time":"2026-01-01T00:00:09.000Z","vm":"vm-2"}
`

func explain(t *testing.T, id string, all bool) ([]string, error) {
	path := filepath.Join(t.TempDir(), "vm.log")
	if err := os.WriteFile(path, []byte(sampleLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := (&explainCommand{ID: id, Files: []string{path}, All: all}).Run(&Global{Out: &out})
	return strings.Split(strings.TrimSpace(out.String()), "\n"), err
}

func TestExplain(t *testing.T) {
	Convey("lines that mention the identifier are printed in order of time", t, func() {
		lines, err := explain(t, "i1", false)
		So(err, ShouldBeNil)
		So(lines, ShouldResemble, []string{
			"2026-01-01T00:00:01.500Z vm-1 1712 run failed item=i1 job=j1 server=e3",
			"2026-01-01T00:00:03.000Z vm-2 1713 run canceled item=i1 job=j1 server=e7",
		})
	})
	Convey("with --all, state events in between are printed, and lines about other items are not", t, func() {
		lines, err := explain(t, "i1", true)
		So(err, ShouldBeNil)
		So(len(lines), ShouldEqual, 3)
		So(lines[1], ShouldContainSubstring, "lease lost fence=7")
	})
	Convey("an identifier that no line mentions is an error with a hint", t, func() {
		_, err := explain(t, "i9", false)
		So(err.Error(), ShouldContainSubstring, "try the log files of more VMs")
	})
}

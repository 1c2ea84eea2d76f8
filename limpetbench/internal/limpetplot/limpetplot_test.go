package limpetplot_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/limpetbench/internal/limpetplot"
)

func TestReportFiles(t *testing.T) {
	Convey("a report is written as a Markdown table, a CSV file and SVG plots", t, func() {
		folder := filepath.Join(t.TempDir(), "out")
		r := limpetplot.Report{Name: "r", Columns: []string{"a", "b"}}
		r.Add("1", "x,y")
		So(r.Markdown(), ShouldEqual, "| a | b |\n| --- | --- |\n| 1 | x,y |")
		So(r.WriteCSV(folder), ShouldBeNil)
		data, err := os.ReadFile(filepath.Join(folder, "r.csv"))
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "a,b\n1,\"x,y\"\n")
		series := []limpetplot.Series{{Name: "s", X: []float64{1, 2}, Y: []float64{3, 4}}}
		So(limpetplot.WriteLines(folder, "lines", "t", "x", "y", series), ShouldBeNil)
		So(limpetplot.WriteBars(folder, "bars", "t", "y", []string{"l", "m"}, series), ShouldBeNil)
		for _, name := range []string{"lines.svg", "bars.svg"} {
			data, err := os.ReadFile(filepath.Join(folder, name))
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, "<svg")
		}
	})
}

package limpetlang_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetlang"
)

// Guards against a query that fails while VMs of two releases run side by side, whose
// tables differ by a column.
func TestTablesOfTwoReleases(t *testing.T) {
	text := limpetlang.Text
	table := limpetlang.Table{Columns: []string{"vm", "zone", "build"}, Rows: [][]limpetlang.Cell{{text("vm1"), text("a"), text("2")}}}
	Convey("rows of another release are aligned by the names of the columns", t, func() {
		table.AppendAligned(limpetlang.Table{Columns: []string{"zone", "older", "vm"}, Rows: [][]limpetlang.Cell{
			{text("b"), text("x"), text("vm2")}, {text("c")},
		}})
		So(table.Rows[1], ShouldResemble, []limpetlang.Cell{text("vm2"), text("b"), text("")})
		So(table.Rows[2], ShouldResemble, []limpetlang.Cell{text(""), text("c"), text("")})
		batch, err := limpetlang.Parse("show vms where build = \"2\"")
		So(err, ShouldBeNil)
		out, err := batch.Statements[0].Show.Evaluate(table)
		So(err, ShouldBeNil)
		So(len(out.Rows), ShouldEqual, 1)
	})
}

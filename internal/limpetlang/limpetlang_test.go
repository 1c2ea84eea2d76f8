package limpetlang_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlang"
)

func TestExamplesParse(t *testing.T) {
	for _, e := range limpetlang.Examples {
		t.Run(e, func(t *testing.T) {
			Convey("the example is valid", t, func() {
				b, err := limpetlang.Parse(e)
				So(err, ShouldBeNil)
				_, err = b.Changes()
				So(err, ShouldBeNil)
			})
		})
	}
}

func TestFindingPositions(t *testing.T) {
	for _, c := range []struct{ text, position string }{
		{"", "1:1"},
		{"shew vms", "1:1"},
		{"show vms;\nset account", "2:12"},
		{"show vms where", "1:15"},
		{"show vms limit x", "1:16"},
		{"create server x", "1:1"},
		{"drain account x", "1:1"},
		{"show vms \x00", "1:10"},
	} {
		t.Run(c.text, func(t *testing.T) {
			Convey("the finding gives line and column", t, func() {
				b, err := limpetlang.Parse(c.text)
				if err == nil {
					_, err = b.Changes()
				}
				var f *limpeterror.Findings
				So(errors.As(err, &f), ShouldBeTrue)
				So(f.List[0].Place, ShouldEqual, c.position)
				So(f.List[0].Text, ShouldNotBeEmpty)
			})
		})
	}
}

func TestChanges(t *testing.T) {
	Convey("commands become changes with their values unchanged", t, func() {
		b, err := limpetlang.Parse(`set account "desk" weight=-2.5 class=live if weight=3 and class=rollout; withdraw key k1`)
		So(err, ShouldBeNil)
		changes, err := b.Changes()
		So(err, ShouldBeNil)
		So(changes[0].Settings, ShouldResemble, []limpetconfig.Setting{{Field: "weight", Value: "-2.5"}, {Field: "class", Value: "live"}})
		So(changes[0].If, ShouldResemble, []limpetconfig.Setting{{Field: "weight", Value: "3"}, {Field: "class", Value: "rollout"}})
		So(changes[1].Verb, ShouldEqual, limpetconfig.Remove)
		So(changes[1].Entity, ShouldEqual, limpetconfig.Keys)
	})
}

func serversTable() limpetlang.Table {
	row := func(name, zone string, running int) []limpetlang.Cell {
		return []limpetlang.Cell{limpetlang.Text(name), limpetlang.Text(zone), limpetlang.Number(running)}
	}
	return limpetlang.Table{
		Columns: []string{"server", "zone", "running"},
		Rows:    [][]limpetlang.Cell{row("e1", "a", 5), row("e2", "b", 7), row("e3", "a", 12)},
	}
}

func TestEvaluate(t *testing.T) {
	for _, c := range []struct{ query, want string }{
		{"show servers", "e1,a,5;e2,b,7;e3,a,12"},
		{"show servers where zone = a", "e1,a,5;e3,a,12"},
		{"show servers where running > 6 and zone != b", "e3,a,12"},
		{"show servers where running >= 7 sort by running desc", "e3,a,12;e2,b,7"},
		{`show servers where server ~ "[12]$"`, "e1,a,5;e2,b,7"},
		{"show servers sort by running limit 1", "e1,a,5"},
		{"show servers group by zone sum running sort by zone", "a,2,17;b,1,7"},
		{"show servers sum running", "3,24"},
	} {
		t.Run(c.query, func(t *testing.T) {
			Convey("the query returns the expected rows", t, func() {
				b, err := limpetlang.Parse(c.query)
				So(err, ShouldBeNil)
				out, err := b.Statements[0].Show.Evaluate(serversTable())
				So(err, ShouldBeNil)
				var rows []string
				for _, r := range out.Rows {
					var cells []string
					for _, cell := range r {
						cells = append(cells, cell.String())
					}
					rows = append(rows, strings.Join(cells, ","))
				}
				So(strings.Join(rows, ";"), ShouldEqual, c.want)
			})
		})
	}
	Convey("all unknown fields are reported", t, func() {
		b, err := limpetlang.Parse(`show servers where colour = red group by size`)
		So(err, ShouldBeNil)
		_, err = b.Statements[0].Show.Evaluate(serversTable())
		var f *limpeterror.Findings
		So(errors.As(err, &f), ShouldBeTrue)
		So(len(f.List), ShouldEqual, 2)
	})
}

func TestReferencePage(t *testing.T) {
	Convey("docs/LANGUAGE.md is what limpetctl language prints", t, func() {
		page, err := os.ReadFile("../../docs/LANGUAGE.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, limpetlang.Reference())
	})
}

func FuzzParse(f *testing.F) {
	for _, e := range limpetlang.Examples {
		f.Add(e)
	}
	f.Fuzz(func(t *testing.T, text string) {
		b, err := limpetlang.Parse(text)
		if err != nil {
			var findings *limpeterror.Findings
			if !errors.As(err, &findings) || len(findings.List) == 0 || findings.List[0].Place == "" {
				t.Fatalf("error without a position: %v", err)
			}
			return
		}
		_, _ = b.Changes()
		for _, s := range b.Statements {
			if s.Show != nil {
				_, _ = s.Show.Evaluate(serversTable())
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	text := strings.Join(limpetlang.Examples, ";")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := limpetlang.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

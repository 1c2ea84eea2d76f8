package limpetlang

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"limpetmount.org/internal/limpeterror"
)

// A Cell is a number if Numeric is set, and a text otherwise.
type Cell struct {
	Text    string
	Number  float64
	Numeric bool
}

// Text returns a text cell.
func Text(s string) Cell { return Cell{Text: s} }

// Number returns a numeric cell.
func Number[T int | int32 | int64 | uint64 | float64](n T) Cell {
	return Cell{Number: float64(n), Numeric: true}
}

// ParseCell returns a numeric cell if s is a number, otherwise a text cell.
func ParseCell(s string) Cell {
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		return Cell{Number: n, Numeric: true}
	}
	return Text(s)
}

// String returns the printed form of the cell.
func (c Cell) String() string {
	if c.Numeric {
		return strconv.FormatFloat(c.Number, 'f', -1, 64)
	}
	return c.Text
}

// compareCells compares two numeric cells by value and all others by their printed
// form.
func compareCells(a, b Cell) int {
	if a.Numeric && b.Numeric {
		return cmp.Compare(a.Number, b.Number)
	}
	return strings.Compare(a.String(), b.String())
}

// A Table holds rows of one kind of object. A column name may end in a unit, for
// example drain_ms.
type Table struct {
	Columns []string
	Rows    [][]Cell
}

// AppendAligned appends the rows of another table, whose columns may be others, as
// those of another release are. Columns that it lacks are empty.
func (t *Table) AppendAligned(other Table) {
	places := make([]int, len(t.Columns))
	for n, column := range t.Columns {
		places[n] = slices.Index(other.Columns, column)
	}
	for _, row := range other.Rows {
		aligned := make([]Cell, len(places))
		for n, place := range places {
			aligned[n] = Text("")
			if place >= 0 && place < len(row) {
				aligned[n] = row[place]
			}
		}
		t.Rows = append(t.Rows, aligned)
	}
}

// Evaluate applies the filters, grouping, sums, sort order and limit of a query to a
// table. Its errors are *limpeterror.Findings about fields that the table does not
// have and invalid patterns.
func (s *Show) Evaluate(t Table) (Table, error) {
	f := &limpeterror.Findings{}
	columnOf := func(field string) int {
		i := slices.Index(t.Columns, field)
		if i < 0 {
			f.Add(s.Entity, "no field %q; the fields are %s", field, strings.Join(t.Columns, ", "))
		}
		return i
	}
	predicates := make([]func([]Cell) bool, 0, len(s.Where))
	for _, w := range s.Where {
		predicates = append(predicates, w.predicate(columnOf(w.Field), f))
	}
	groupBy, sums := columnIndexes(s.Group, columnOf), columnIndexes(s.Sum, columnOf)
	if err := f.Err(); err != nil {
		return Table{}, err
	}
	out := Table{Columns: t.Columns, Rows: filterRows(t.Rows, predicates)}
	if len(groupBy) > 0 || len(sums) > 0 {
		out = out.aggregate(groupBy, sums)
	}
	if s.Sort != nil {
		column := slices.Index(out.Columns, s.Sort.Field)
		if column < 0 {
			f.Add(s.Entity, "cannot sort by %q; the fields are %s", s.Sort.Field, strings.Join(out.Columns, ", "))
			return Table{}, f
		}
		slices.SortStableFunc(out.Rows, func(a, b []Cell) int {
			if s.Sort.Descending {
				a, b = b, a
			}
			return compareCells(a[column], b[column])
		})
	}
	if s.Limit != nil && *s.Limit < len(out.Rows) {
		out.Rows = out.Rows[:*s.Limit]
	}
	return out, nil
}

func columnIndexes(fields []string, columnOf func(string) int) []int {
	var list []int
	for _, field := range fields {
		list = append(list, columnOf(field))
	}
	return list
}

// filterRows returns the rows that satisfy all predicates.
func filterRows(rows [][]Cell, predicates []func([]Cell) bool) [][]Cell {
	var kept [][]Cell
	for _, r := range rows {
		if !slices.ContainsFunc(predicates, func(p func([]Cell) bool) bool { return !p(r) }) {
			kept = append(kept, r)
		}
	}
	return kept
}

// predicate returns the condition as a predicate on rows. The operator ~ matches a
// regular expression. Go's RE2 syntax guarantees linear time, so that no pattern
// can stall a query.
func (c *Condition) predicate(column int, f *limpeterror.Findings) func([]Cell) bool {
	want := ParseCell(c.Value.String())
	var pattern *regexp.Regexp
	if c.Operator == "~" {
		var err error
		if pattern, err = regexp.Compile(c.Value.String()); err != nil {
			f.Add(c.Field, "pattern: %v", err)
		}
	}
	return func(r []Cell) bool {
		d := compareCells(r[column], want)
		switch c.Operator {
		case "=":
			return d == 0
		case "!=":
			return d != 0
		case "<":
			return d < 0
		case "<=":
			return d <= 0
		case ">":
			return d > 0
		case ">=":
			return d >= 0
		default:
			return pattern != nil && pattern.MatchString(r[column].String())
		}
	}
}

// aggregate returns a table with one row per group, which holds the number of rows
// and the sums.
func (t Table) aggregate(groupBy, sums []int) Table {
	var out Table
	for _, g := range groupBy {
		out.Columns = append(out.Columns, t.Columns[g])
	}
	out.Columns = append(out.Columns, "count")
	for _, s := range sums {
		out.Columns = append(out.Columns, "sum_"+t.Columns[s])
	}
	rowOf := map[string]int{}
	for _, r := range t.Rows {
		var key strings.Builder
		for _, g := range groupBy {
			fmt.Fprintf(&key, "%q,", r[g].String())
		}
		i, ok := rowOf[key.String()]
		if !ok {
			i = len(out.Rows)
			rowOf[key.String()] = i
			row := make([]Cell, 0, len(out.Columns))
			for _, g := range groupBy {
				row = append(row, r[g])
			}
			for range 1 + len(sums) {
				row = append(row, Number(0))
			}
			out.Rows = append(out.Rows, row)
		}
		row := out.Rows[i]
		row[len(groupBy)].Number++
		for j, s := range sums {
			row[len(groupBy)+1+j].Number += r[s].Number
		}
	}
	return out
}

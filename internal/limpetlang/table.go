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

// A Cell holds a text or a number.
type Cell struct {
	Text    string
	Number  float64
	Numeric bool
}

// Text returns a cell with a text.
func Text(s string) Cell { return Cell{Text: s} }

// Number returns a cell with a number.
func Number[T int | int32 | int64 | uint64 | float64](n T) Cell {
	return Cell{Number: float64(n), Numeric: true}
}

// Guess returns a numeric cell when s is a number, else a text.
func Guess(s string) Cell {
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		return Cell{Number: n, Numeric: true}
	}
	return Text(s)
}

// String returns the cell as it is printed.
func (c Cell) String() string {
	if c.Numeric {
		return strconv.FormatFloat(c.Number, 'f', -1, 64)
	}
	return c.Text
}

func compare(a, b Cell) int {
	if a.Numeric && b.Numeric {
		return cmp.Compare(a.Number, b.Number)
	}
	return strings.Compare(a.String(), b.String())
}

// A Table holds rows of one kind of object. A column's name may end in a unit,
// for example drain_ms.
type Table struct {
	Columns []string
	Rows    [][]Cell
}

// Evaluate filters, groups, sums, sorts and limits a table. Findings name the
// fields that the table lacks.
func (s *Show) Evaluate(t Table) (Table, error) {
	f := &limpeterror.Findings{}
	index := func(field string) int {
		i := slices.Index(t.Columns, field)
		if i < 0 {
			f.Add(s.Entity, "no field %q; the fields are %s", field, strings.Join(t.Columns, ", "))
		}
		return i
	}
	tests := make([]func([]Cell) bool, 0, len(s.Where))
	for _, w := range s.Where {
		tests = append(tests, w.test(index(w.Field), f))
	}
	groupBy, sums := indexes(s.Group, index), indexes(s.Sum, index)
	if err := f.Err(); err != nil {
		return Table{}, err
	}
	out := Table{Columns: t.Columns, Rows: filter(t.Rows, tests)}
	if len(groupBy) > 0 || len(sums) > 0 {
		out = out.aggregate(groupBy, sums)
	}
	if s.Sort != nil {
		at := slices.Index(out.Columns, s.Sort.Field)
		if at < 0 {
			f.Add(s.Entity, "cannot sort by %q; the fields are %s", s.Sort.Field, strings.Join(out.Columns, ", "))
			return Table{}, f
		}
		slices.SortStableFunc(out.Rows, func(a, b []Cell) int {
			if s.Sort.Descending {
				a, b = b, a
			}
			return compare(a[at], b[at])
		})
	}
	if s.Limit != nil && *s.Limit < len(out.Rows) {
		out.Rows = out.Rows[:*s.Limit]
	}
	return out, nil
}

func indexes(fields []string, index func(string) int) []int {
	var list []int
	for _, field := range fields {
		list = append(list, index(field))
	}
	return list
}

func filter(rows [][]Cell, tests []func([]Cell) bool) [][]Cell {
	var kept [][]Cell
	for _, r := range rows {
		if !slices.ContainsFunc(tests, func(test func([]Cell) bool) bool { return !test(r) }) {
			kept = append(kept, r)
		}
	}
	return kept
}

// test returns the predicate of a condition. The operator ~ matches a regular
// expression (RE2, so that no pattern takes exponential time).
func (c *Condition) test(column int, f *limpeterror.Findings) func([]Cell) bool {
	want := Guess(c.Value.String())
	var pattern *regexp.Regexp
	if c.Operator == "~" {
		var err error
		if pattern, err = regexp.Compile(c.Value.String()); err != nil {
			f.Add(c.Field, "pattern: %v", err)
		}
	}
	return func(r []Cell) bool {
		d := compare(r[column], want)
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

// aggregate returns one row for each group with the count and the sums.
func (t Table) aggregate(groupBy, sums []int) Table {
	var out Table
	for _, g := range groupBy {
		out.Columns = append(out.Columns, t.Columns[g])
	}
	out.Columns = append(out.Columns, "count")
	for _, s := range sums {
		out.Columns = append(out.Columns, "sum_"+t.Columns[s])
	}
	at := map[string]int{}
	for _, r := range t.Rows {
		var key strings.Builder
		for _, g := range groupBy {
			fmt.Fprintf(&key, "%q,", r[g].String())
		}
		i, ok := at[key.String()]
		if !ok {
			i = len(out.Rows)
			at[key.String()] = i
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

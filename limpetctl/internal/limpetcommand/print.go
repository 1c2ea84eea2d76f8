package limpetcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpetoperator"
	"limpetmount.org/internal/limpetwire"
)

// A resultJSON is the JSON form of one statement's result.
type resultJSON struct {
	Text    string           `json:"text,omitempty"`
	Rows    []map[string]any `json:"rows,omitempty"`
	Sources []sourceJSON     `json:"sources,omitempty"`
}

// A sourceJSON is the JSON form of what one VM contributed to a result.
type sourceJSON struct {
	VM       string `json:"vm"`
	Answered bool   `json:"answered"`
	Error    string `json:"error,omitempty"`
	AgeMS    int64  `json:"age_ms"`
}

// printResults writes results as tables or as JSON.
func (g *Global) printResults(w io.Writer, response *limpetwire.RunResponse) error {
	if g.Output == "json" {
		return printJSON(w, response)
	}
	for _, r := range response.GetResults() {
		if r.GetText() != "" {
			fmt.Fprintln(w, r.GetText())
		}
		if r.GetTable() != nil {
			printTable(w, limpetoperator.DecodeTable(r.GetTable()))
		}
		for _, s := range r.GetSources() {
			if !s.GetAnswered() {
				fmt.Fprintf(w, "partial: VM %s did not answer and was last heard %d ms ago\n", s.GetVm(), s.GetAgeMs())
			}
		}
	}
	return nil
}

func printTable(w io.Writer, t limpetlang.Table) {
	writer := table.NewWriter()
	writer.SetStyle(table.StyleLight)
	header := make(table.Row, 0, len(t.Columns))
	for _, c := range t.Columns {
		header = append(header, c)
	}
	writer.AppendHeader(header)
	for _, r := range t.Rows {
		row := make(table.Row, 0, len(r))
		for _, c := range r {
			row = append(row, c.String())
		}
		writer.AppendRow(row)
	}
	fmt.Fprintln(w, writer.Render())
}

func printJSON(w io.Writer, response *limpetwire.RunResponse) error {
	results := []resultJSON{}
	for _, r := range response.GetResults() {
		j := resultJSON{Text: r.GetText()}
		t := limpetoperator.DecodeTable(r.GetTable())
		for _, cells := range t.Rows {
			row := map[string]any{}
			for i, c := range cells {
				row[t.Columns[i]] = c.Text
				if c.Numeric {
					row[t.Columns[i]] = c.Number
				}
			}
			j.Rows = append(j.Rows, row)
		}
		for _, s := range r.GetSources() {
			j.Sources = append(j.Sources, sourceJSON{VM: s.GetVm(), Answered: s.GetAnswered(), Error: s.GetError(), AgeMS: s.GetAgeMs()})
		}
		results = append(results, j)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

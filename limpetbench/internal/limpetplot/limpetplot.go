// Package limpetplot formats experiment results as tables, CSV files and SVG
// plots. It is independent of what an experiment measures.
package limpetplot

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// A Report is the result table of one experiment. Name is the base name of its
// CSV file.
type Report struct {
	Name    string
	Columns []string
	Rows    [][]string
}

// Add appends a row.
func (r *Report) Add(cells ...string) { r.Rows = append(r.Rows, cells) }

// Table renders the report as a plain-text table.
func (r *Report) Table() string { return r.tableWriter().Render() }

// Markdown renders the report as a Markdown table.
func (r *Report) Markdown() string { return r.tableWriter().RenderMarkdown() }

func (r *Report) tableWriter() table.Writer {
	t := table.NewWriter()
	t.AppendHeader(tableRow(r.Columns))
	for _, cells := range r.Rows {
		t.AppendRow(tableRow(cells))
	}
	return t
}

func tableRow(cells []string) table.Row {
	row := make(table.Row, 0, len(cells))
	for _, c := range cells {
		row = append(row, c)
	}
	return row
}

const (
	dirMode    = 0o755
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteCSV writes the report as a CSV file into a folder, which it creates if
// necessary.
func (r *Report) WriteCSV(folder string) error {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return fmt.Errorf("report %s: %w", r.Name, err)
	}
	file, err := os.Create(filepath.Join(folder, r.Name+".csv"))
	if err != nil {
		return fmt.Errorf("report %s: %w", r.Name, err)
	}
	w := csv.NewWriter(file)
	err = w.WriteAll(append([][]string{r.Columns}, r.Rows...))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("report %s: %w", r.Name, err)
	}
	return nil
}

// A Series is a named sequence of points. Bar charts use only Y.
type Series struct {
	Name string
	X, Y []float64
}

// WriteLines writes a line plot as an SVG file into a folder.
func WriteLines(folder, name, title, xLabel, yLabel string, series []Series) error {
	p := newPlot(title, xLabel, yLabel)
	var args []any
	for _, s := range series {
		points := make(plotter.XYs, len(s.X))
		for i := range s.X {
			points[i].X, points[i].Y = s.X[i], s.Y[i]
		}
		args = append(args, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	return saveSVG(p, folder, name)
}

// WriteBars writes a grouped bar chart as an SVG file into a folder. Each
// series has one Y value per label.
func WriteBars(folder, name, title, yLabel string, labels []string, series []Series) error {
	const barWidth = 14
	p := newPlot(title, "", yLabel)
	p.NominalX(labels...)
	for i, s := range series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Y), vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.Legend.Top = true
	return saveSVG(p, folder, name)
}

func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Add(plotter.NewGrid())
	return p
}

func saveSVG(p *plot.Plot, folder, name string) error {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name+".svg")); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	return nil
}

// Package table holds what a suite of experiments found, and writes it for
// people, as CSV and as a plot.
package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is what a suite found. Its first column groups the rows, its second
// names the variant.
type Table struct {
	Name   string // of its files
	Title  string
	Header []string
	Rows   [][]string
	Value  int // column that is plotted
}

// rowsAtOnce is how many rows are made at once; each run has one goroutine.
const rowsAtOnce = 4

// Fill makes n rows and appends them in order.
func (t *Table) Fill(n int, row func(i int) []string) {
	made := make([][]string, n)
	places := make(chan struct{}, rowsAtOnce)
	var wg sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			made[i] = row(i)
		})
	}
	wg.Wait()
	t.Rows = append(t.Rows, made...)
}

// WriteText writes the table for people.
func (t *Table) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintln(w, t.Title); err != nil {
		return errors.Wrap(err, "write table")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return errors.Wrap(tw.Flush(), "write table")
}

// Save writes the table as CSV and a plot of its value into a directory.
func (t *Table) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make output directory")
	}
	f, err := os.Create(filepath.Join(dir, t.Name+".csv"))
	if err != nil {
		return errors.Wrap(err, "create CSV")
	}
	defer f.Close()
	if err := csv.NewWriter(f).WriteAll(append([][]string{t.Header}, t.Rows...)); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	return t.plot(filepath.Join(dir, t.Name+".png"))
}

// plot draws the value as one line for each variant over the groups of rows.
func (t *Table) plot(path string) error {
	p := plot.New()
	p.Title.Text = t.Title
	p.Y.Label.Text = t.Header[t.Value]
	var groups []string
	var lines []any
	for _, variant := range t.column(1) {
		var points plotter.XYs
		groups = t.column(0)
		for x, group := range groups {
			if y, ok := t.value(group, variant); ok {
				points = append(points, plotter.XY{X: float64(x), Y: y})
			}
		}
		lines = append(lines, variant, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.NominalX(groups...)
	p.Legend.Top = true
	return errors.Wrap(p.Save(9*vg.Inch, 5*vg.Inch, path), "save plot")
}

// column returns the different cells of a column in order.
func (t *Table) column(at int) []string {
	var cells []string
	seen := map[string]bool{}
	for _, row := range t.Rows {
		if !seen[row[at]] {
			seen[row[at]] = true
			cells = append(cells, row[at])
		}
	}
	return cells
}

// value returns the plotted value of a variant in a group of rows.
func (t *Table) value(group, variant string) (float64, bool) {
	for _, row := range t.Rows {
		if row[0] != group || row[1] != variant {
			continue
		}
		v, err := strconv.ParseFloat(row[t.Value], 64)
		return v, err == nil
	}
	return 0, false
}

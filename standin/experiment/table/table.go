// Package table holds the results of a suite of experiments and writes them as
// text, as CSV and as a plot.
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

// Table holds the results of a suite. The first column groups the rows, the
// second names the variant.
type Table struct {
	Name   string // base name of the files
	Title  string
	Header []string
	Rows   [][]string
	Value  int // index of the plotted column
}

// maxConcurrentRows bounds the rows computed concurrently, with one goroutine each.
const maxConcurrentRows = 4

// Fill computes n rows concurrently and appends them in order.
func (t *Table) Fill(n int, row func(i int) []string) {
	rows := make([][]string, n)
	slots := make(chan struct{}, maxConcurrentRows)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[i] = row(i)
		})
	}
	wg.Wait()
	t.Rows = append(t.Rows, rows...)
}

// WriteText writes the table as aligned text.
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

// Save writes the table as CSV and as a plot of the value column into a directory.
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

// plot draws one line of values per variant over the groups of rows.
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

// column returns the distinct cells of a column in order of appearance.
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

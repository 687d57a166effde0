package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// TextMetrics serves the registry as plain text with one value per line. A
// counter or gauge is one line; a histogram has a line each for its count,
// maximum, mean and quantiles.
func TextMetrics(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		var lines []string
		r.Each(func(name string, metric any) {
			lines = append(lines, textLines(strings.ReplaceAll(name, ".", "_"), metric)...)
		})
		slices.Sort(lines)
		_, _ = io.WriteString(w, strings.Join(lines, "")) // fails only if the client has disconnected
	})
}

// histogramQuantiles are the quantiles listed for each histogram.
var histogramQuantiles = []float64{0.5, 0.95, 0.99}

func textLines(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d\n", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		lines := []string{
			fmt.Sprintf("%s_count %d\n", name, s.Count()),
			fmt.Sprintf("%s_max %d\n", name, s.Max()),
			fmt.Sprintf("%s_mean %.1f\n", name, s.Mean()),
		}
		for i, v := range s.Percentiles(histogramQuantiles) {
			lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %.1f\n", name, histogramQuantiles[i], v))
		}
		return lines
	default:
		return nil
	}
}

// Metrics serves the registry as JSON.
func Metrics(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	})
}

package loader

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

// The size of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 220
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>shallotstage load</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}th:first-child,td:first-child{text-align:left}
svg{background:#fafafa;border:1px solid #ddd}</style></head><body>
<h1>Load</h1>
<table><tr><th>run</th><th>reads</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>writes</th><th>p50 ms</th><th>p99 ms</th><th>refused</th><th>unknown</th><th>stale</th><th>doubled</th></tr>
{{range .}}<tr><td>{{.Name}}</td><td>{{.Reads.Count}}</td><td>{{.Reads.P50}}</td><td>{{.Reads.P99}}</td><td>{{.Reads.P999}}</td>
<td>{{.Writes.Count}}</td><td>{{.Writes.P50}}</td><td>{{.Writes.P99}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td><td>{{.Stale}}</td><td>{{.Doubled}}</td></tr>{{end}}</table>
{{range .}}<h2>{{.Name}}</h2><p>Median (blue) and maximum (red) latency of each second, logarithmic from 0.1 ms to 100 s; grey bars are requests that were not served.</p>
{{.Plot}}{{end}}</body></html>
`))

type plotted struct {
	Result
	Plot template.HTML
}

// WritePage writes a self-contained HTML page with the results and a plot of
// latency over time for each.
func WritePage(w io.Writer, results []*Result) error {
	var all []plotted
	for _, r := range results {
		all = append(all, plotted{Result: *r, Plot: template.HTML(plot(r.Seconds))})
	}
	if err := page.Execute(w, all); err != nil {
		return fmt.Errorf("loader: write page: %w", err)
	}
	return nil
}

// plot draws the seconds as SVG. It holds numbers only.
func plot(seconds []Second) string {
	if len(seconds) == 0 {
		return ""
	}
	last := seconds[len(seconds)-1].At
	x := func(at int) float64 { return float64(at) / float64(max(1, last)) * plotWidth }
	var medians, highest, bars strings.Builder
	for _, s := range seconds {
		fmt.Fprintf(&medians, "%.1f,%.1f ", x(s.At), height(s.MedianMS))
		fmt.Fprintf(&highest, "%.1f,%.1f ", x(s.At), height(s.MaxMS))
		if lost := s.Refused + s.Unknown; lost > 0 {
			h := float64(lost) / float64(lost+s.Served) * plotHeight
			fmt.Fprintf(&bars, `<rect x="%.1f" y="%.1f" width="4" height="%.1f" fill="#bbb"/>`, x(s.At), plotHeight-h, h)
		}
	}
	return fmt.Sprintf(`<svg width="%d" height="%d">%s<polyline fill="none" stroke="#1f77b4" points="%s"/><polyline fill="none" stroke="#d62728" points="%s"/></svg>`,
		plotWidth, plotHeight, bars.String(), medians.String(), highest.String())
}

// height places a latency on a logarithmic axis of six decades from 0.1 ms.
func height(ms float64) float64 {
	const decades = 6
	decade := math.Log10(max(ms, 0.1)) + 1
	return plotHeight * (1 - min(decade, decades)/decades)
}

package loader

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

// Size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 220
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>shallotstage load</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}th:first-child,td:first-child{text-align:left}
svg{background:#fafafa;border:1px solid #ddd}</style></head><body>
<h1>Load</h1>
<table><tr><th>run</th><th>reads</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>writes</th><th>p50 ms</th><th>p99 ms</th><th>refused</th><th>unknown</th><th>stale</th><th>doubled</th></tr>
{{range .}}<tr><td>{{.Name}}</td><td>{{.Reads.Count}}</td><td>{{.Reads.P50}}</td><td>{{.Reads.P99}}</td><td>{{.Reads.P999}}</td>
<td>{{.Writes.Count}}</td><td>{{.Writes.P50}}</td><td>{{.Writes.P99}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td><td>{{.StaleReads}}</td><td>{{.DuplicateWrites}}</td></tr>{{end}}</table>
{{range .}}<h2>{{.Name}}</h2><p>Median (blue) and maximum (red) latency of each second, logarithmic from 0.1 ms to 100 s; grey bars are requests that were not served.</p>
{{.Plot}}{{end}}</body></html>
`))

type resultWithPlot struct {
	Result
	Plot template.HTML
}

// WriteHTML writes a self-contained HTML page with a table of the results and,
// for each, a plot of latency over time.
func WriteHTML(w io.Writer, results []*Result) error {
	var all []resultWithPlot
	for _, r := range results {
		all = append(all, resultWithPlot{Result: *r, Plot: template.HTML(plot(r.Seconds))})
	}
	if err := pageTemplate.Execute(w, all); err != nil {
		return fmt.Errorf("loader: write page: %w", err)
	}
	return nil
}

// plot returns an SVG plot of the seconds. It contains only numbers, so it needs
// no HTML escaping.
func plot(seconds []SecondStats) string {
	if len(seconds) == 0 {
		return ""
	}
	last := seconds[len(seconds)-1].Offset
	x := func(offset int) float64 { return float64(offset) / float64(max(1, last)) * plotWidth }
	var medians, maxima, bars strings.Builder
	for _, s := range seconds {
		fmt.Fprintf(&medians, "%.1f,%.1f ", x(s.Offset), latencyY(s.MedianMS))
		fmt.Fprintf(&maxima, "%.1f,%.1f ", x(s.Offset), latencyY(s.MaxMS))
		if failed := s.Refused + s.Unknown; failed > 0 {
			h := float64(failed) / float64(failed+s.Served) * plotHeight
			fmt.Fprintf(&bars, `<rect x="%.1f" y="%.1f" width="4" height="%.1f" fill="#bbb"/>`, x(s.Offset), plotHeight-h, h)
		}
	}
	return fmt.Sprintf(`<svg width="%d" height="%d">%s<polyline fill="none" stroke="#1f77b4" points="%s"/><polyline fill="none" stroke="#d62728" points="%s"/></svg>`,
		plotWidth, plotHeight, bars.String(), medians.String(), maxima.String())
}

// latencyY returns the vertical position of a latency on a logarithmic axis of six
// decades that starts at 0.1 ms.
func latencyY(ms float64) float64 {
	const decades = 6
	decade := math.Log10(max(ms, 0.1)) + 1
	return plotHeight * (1 - min(decade, decades)/decades)
}

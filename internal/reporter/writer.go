package reporter

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/shallotstage/shallotstage/pkg/burner"
)

// Format is the output format of a report.
type Format string

// Supported formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatHTML Format = "html"
)

// Formats returns the supported formats.
func Formats() []Format { return []Format{FormatText, FormatJSON, FormatHTML} }

// Write writes a report to w in the given format.
func Write(w io.Writer, format Format, r burner.Report) error {
	var err error
	switch format {
	case FormatText:
		err = writeText(w, r)
	case FormatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		err = e.Encode(r)
	case FormatHTML:
		err = pageTemplate.Execute(w, r)
	default:
		err = fmt.Errorf("unknown format %q", format)
	}
	if err != nil {
		return fmt.Errorf("reporter: write report: %w", err)
	}
	return nil
}

func writeText(w io.Writer, r burner.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "burn of service levels at %s, %d hosts\n", r.At.UTC().Format(time.RFC3339), len(r.Hosts))
	for _, host := range r.Missing {
		fmt.Fprintf(&b, "no answer from %s; its statements are not counted\n", host)
	}
	for _, s := range r.Subjects {
		fmt.Fprintf(&b, "\n%s on %s: alert %s, objective %g%s, %s of the budget left\n",
			s.Organisation, s.Route, s.Alert, s.Objective.Availability, formatLatency(s), formatPercent(s.BudgetLeft))
		for _, window := range s.Windows {
			fmt.Fprintf(&b, "  %-8s %9d statements  %7d bad  burn rate %.2f\n", formatDuration(window.Seconds), window.Statements, window.Bad, window.BurnRate)
		}
		if s.OverRate > 0 {
			fmt.Fprintf(&b, "  %d statements over the organisation's rate were refused; they burn nothing\n", s.OverRate)
		}
		for _, c := range s.Causes {
			fmt.Fprintf(&b, "  %5s  %s\n", formatPercent(c.Share), formatCause(c))
			for _, record := range c.Records {
				fmt.Fprintf(&b, "         record %d  %s  %s: %s\n", record.Index, record.At, record.Subject, record.Text)
			}
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func formatLatency(s burner.SubjectReport) string {
	if s.Objective.LatencyMS == 0 {
		return ""
	}
	return fmt.Sprintf(" within %d ms", s.Objective.LatencyMS)
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func formatDuration(seconds int64) string { return (time.Duration(seconds) * time.Second).String() }

// formatCause returns a one-line description of a cause of bad statements.
func formatCause(c burner.Cause) string {
	s := fmt.Sprintf("%d %s", c.Statements, c.Outcome)
	if c.Reason != "" {
		s += ", " + string(c.Reason)
	}
	s += ", host " + c.Host
	if c.Group != "" {
		s += fmt.Sprintf(", group %s", c.Group)
	}
	if c.Term > 0 {
		s += fmt.Sprintf(" in term %d", c.Term)
	}
	if c.Upstream != "" {
		s += ", upstream " + c.Upstream
	}
	return s
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": formatPercent, "duration": formatDuration, "cause": formatCause, "latency": formatLatency,
	"bar": func(rate float64) int { return int(min(1, rate/20) * 200) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>shallotstage burn report</title>
<style>body{font-family:sans-serif;margin:2em;max-width:64em}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}th:first-child,td:first-child{text-align:left}
.page{color:#b00020}.ticket{color:#a05a00}.bar{background:#b00020;height:.7em;display:inline-block}li{margin:.2em 0}</style></head><body>
<h1>Burn of service levels</h1>
<p>{{.At.UTC.Format "2006-01-02T15:04:05Z07:00"}}, {{len .Hosts}} hosts.</p>
{{range .Missing}}<p class="page">No answer from {{.}}; its statements are not counted.</p>{{end}}
{{range .Subjects}}<h2 class="{{.Alert}}">{{.Organisation}} on {{.Route}}: {{.Alert}}</h2>
<p>Objective {{.Objective.Availability}}{{latency .}}; {{percent .BudgetLeft}} of the budget left. {{.OverRate}} statements over the rate were refused.</p>
<table><tr><th>window</th><th>statements</th><th>bad</th><th>burn rate</th><th></th></tr>
{{range .Windows}}<tr><td>{{duration .Seconds}}</td><td>{{.Statements}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .BurnRate}}</td><td style="text-align:left"><span class="bar" style="width:{{bar .BurnRate}}px"></span></td></tr>{{end}}</table>
{{if .Causes}}<ul>{{range .Causes}}<li>{{percent .Share}}: {{cause .}}{{if .Records}}<ul>{{range .Records}}<li>record {{.Index}}, {{.At}}, {{.Subject}}: {{.Text}}</li>{{end}}</ul>{{end}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))

package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	printLine("must\tchecked\tviolations\tfirst")
	for _, name := range Invariants() {
		c := r.Invariants[name]
		printLine("%s\t%d\t%d\t%s", name, c.Checked, c.Violations, c.First)
	}
	printLine("")
	printLine("measure\tshallotstage\tbaseline")
	a, b := r.Metrics, r.Baseline
	printLine("replica_read_share\t%.3f\t%.3f", a.ReplicaReadShare, b.ReplicaReadShare)
	printLine("failover_gap_ms\t%s\t%s", formatGaps(a), formatGaps(b))
	printLine("worst_organisation_share\t%.3f (%s)\t%.3f (%s)", a.WorstShare, a.WorstOrganisation, b.WorstShare, b.WorstOrganisation)
	printLine("wrongful_refusal_share\t%.4f (steady %.4f)\t%.4f (steady %.4f)", a.WrongfulRefusals, a.WrongfulSteady, b.WrongfulRefusals, b.WrongfulSteady)
	printLine("requests, refusals\t%d, %d\t%d, %d", a.Requests, a.Refusals, b.Requests, b.Refusals)
	printLine("refusals by SQLSTATE\t%v\t%v", a.RefusalCodes, b.RefusalCodes)
	printLine("wrongful refusals\t%v\t%v", a.WrongfulByOrganisation, b.WrongfulByOrganisation)
	printLine("read p50, p99 ms\t%.1f, %.1f\t%.1f, %.1f", a.ReadP50MS, a.ReadP99MS, b.ReadP50MS, b.ReadP99MS)
	printLine("write p50, p99 ms\t%.1f, %.1f\t%.1f, %.1f", a.WriteP50MS, a.WriteP99MS, b.WriteP50MS, b.WriteP99MS)
	printLine("link bytes per request\t%.0f\t%.0f", a.LinkBytesPerRequest, b.LinkBytesPerRequest)
	printLine("in force, key stopped ms\t%v, %v\t", a.InForceMS, a.KeyLastAcceptedMS)
	return t.Flush()
}

// formatGaps formats the failover gaps of a run.
func formatGaps(m Metrics) string {
	text := fmt.Sprintf("%.0f (max %.0f of %d)", m.FailoverGapMS, quantile(m.FailoverGapsMS, 1), len(m.FailoverGapsMS))
	if len(m.FailoverGapsMS) == 0 {
		text = "none"
	}
	if m.UnresolvedFailovers > 0 {
		text += fmt.Sprintf(", %d not over by the end", m.UnresolvedFailovers)
	}
	return text
}

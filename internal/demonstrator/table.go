package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes a report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("must\tchecked\tviolations\tfirst")
	for _, m := range Musts() {
		c := r.Musts[m]
		line("%s\t%d\t%d\t%s", m, c.Checked, c.Violations, c.First)
	}
	line("")
	line("measure\tshallotstage\tbaseline")
	a, b := r.Measures, r.Baseline
	line("replica_read_share\t%.3f\t%.3f", a.ReplicaReadShare, b.ReplicaReadShare)
	line("failover_gap_ms\t%s\t%s", gaps(a), gaps(b))
	line("worst_organisation_share\t%.3f (%s)\t%.3f (%s)", a.WorstShare, a.WorstOrganisation, b.WorstShare, b.WorstOrganisation)
	line("wrongful_refusal_share\t%.4f (steady %.4f)\t%.4f (steady %.4f)", a.WrongfulRefusals, a.WrongfulSteady, b.WrongfulRefusals, b.WrongfulSteady)
	line("requests, refusals\t%d, %d\t%d, %d", a.Requests, a.Refusals, b.Requests, b.Refusals)
	line("refusals by SQLSTATE\t%v\t%v", a.RefusalCodes, b.RefusalCodes)
	line("wrongful refusals\t%v\t%v", a.WrongfulByOrganisation, b.WrongfulByOrganisation)
	line("read p50, p99 ms\t%.1f, %.1f\t%.1f, %.1f", a.ReadP50MS, a.ReadP99MS, b.ReadP50MS, b.ReadP99MS)
	line("write p50, p99 ms\t%.1f, %.1f\t%.1f, %.1f", a.WriteP50MS, a.WriteP99MS, b.WriteP50MS, b.WriteP99MS)
	line("link bytes per request\t%.0f\t%.0f", a.LinkBytesPerRequest, b.LinkBytesPerRequest)
	line("in force, key stopped ms\t%v, %v\t", a.InForceMS, a.KeyLastAcceptedMS)
	return t.Flush()
}

// gaps writes the failover gaps of one side.
func gaps(m Measures) string {
	text := fmt.Sprintf("%.0f (max %.0f of %d)", m.FailoverGapMS, quantile(m.FailoverGapsMS, 1), len(m.FailoverGapsMS))
	if len(m.FailoverGapsMS) == 0 {
		text = "none"
	}
	if m.FailoversUnended > 0 {
		text += fmt.Sprintf(", %d not over by the end", m.FailoversUnended)
	}
	return text
}

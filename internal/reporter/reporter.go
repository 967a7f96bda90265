// Package reporter builds the error budget report of a fleet and writes it as
// text, JSON or HTML.
//
// # Usage
//
//	r := &reporter.Reporter{Hosts: urls, Operator: client}
//	report, err := r.Build(ctx)
//	err = reporter.Write(os.Stdout, reporter.FormatText, report)
package reporter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/internal/requester"
	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// hostTimeout bounds the request to one host.
const hostTimeout = 5 * time.Second

// Reporter builds a report.
type Reporter struct {
	// Hosts are the base URLs of the HTTP servers of the entry hosts.
	Hosts []string
	// Operator reads the objectives and the record.
	Operator *operator.Client
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// HTTP is the client for the hosts; nil means http.DefaultClient.
	HTTP *http.Client
}

// Build computes the report. Hosts that do not respond are listed as missing.
func (r *Reporter) Build(ctx context.Context) (burner.Report, error) {
	levels, err := r.Operator.ServiceLevels(ctx)
	if err != nil {
		return burner.Report{}, fmt.Errorf("reporter: read objectives: %w", err)
	}
	records, err := r.Operator.Records(ctx, "")
	if err != nil {
		return burner.Report{}, fmt.Errorf("reporter: read record: %w", err)
	}
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	in := burner.Input{
		Now: now(), Records: records,
		State: configurer.State{Organisations: levels.Organisations, Objectives: levels.Objectives},
	}
	in.Pages, in.Missing = r.fetchAllCounts(ctx)
	return burner.BuildReport(in), nil
}

// fetchAllCounts reads the counters of all hosts. missing are the URLs of those that
// did not respond.
func (r *Reporter) fetchAllCounts(ctx context.Context) (counts []burner.HostCounts, missing []string) {
	results := make([]*burner.HostCounts, len(r.Hosts))
	var wg sync.WaitGroup
	for i, host := range r.Hosts {
		wg.Add(1)
		go func() { defer wg.Done(); results[i] = r.fetchCounts(ctx, host) }()
	}
	wg.Wait()
	for i, p := range results {
		if p == nil {
			missing = append(missing, r.Hosts[i])
			continue
		}
		counts = append(counts, *p)
	}
	return counts, missing
}

// fetchCounts reads the counters of one host, or returns nil.
func (r *Reporter) fetchCounts(ctx context.Context, host string) *burner.HostCounts {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var counts burner.HostCounts
	if (requester.Requester{HTTP: r.HTTP}).Do(ctx, http.MethodGet, host+"/v1/burn", nil, &counts) != nil {
		return nil
	}
	return &counts
}

package demonstrator

import (
	"math"
	"sort"
	"time"
)

// Metrics holds the users' four metrics and related figures.
type Metrics struct {
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMS is the median of FailoverGapsMS.
	FailoverGapMS  float64   `json:"failover_gap_ms"`
	FailoverGapsMS []float64 `json:"failover_gaps_ms"`
	// UnresolvedFailovers counts the faults after which the group acknowledged
	// no write until the end of the run.
	UnresolvedFailovers int     `json:"failovers_unended"`
	WorstShare          float64 `json:"worst_organisation_share"`
	WorstOrganisation   string  `json:"worst_organisation"`
	WrongfulRefusals    float64 `json:"wrongful_refusal_share"`
	WrongfulSteady      float64 `json:"wrongful_refusal_share_steady"`
	// WrongfulByOrganisation counts the statements refused within the rate.
	WrongfulByOrganisation map[string]int `json:"wrongful_refusals_by_organisation"`
	Requests               int            `json:"requests"`
	Refusals               int            `json:"refusals"`
	// RefusalCodes counts refusals by SQLSTATE, which is empty for a lost
	// connection.
	RefusalCodes        map[string]int `json:"refusal_codes"`
	ReadP50MS           float64        `json:"read_p50_ms"`
	ReadP99MS           float64        `json:"read_p99_ms"`
	WriteP50MS          float64        `json:"write_p50_ms"`
	WriteP99MS          float64        `json:"write_p99_ms"`
	InForceMS           []float64      `json:"in_force_ms,omitempty"`
	KeyLastAcceptedMS   []float64      `json:"key_last_accepted_ms,omitempty"`
	LinkBytesPerRequest float64        `json:"link_bytes_per_request"`
}

// Fault is one injected fault.
type Fault struct {
	Kind  string    `json:"kind"`
	Group string    `json:"group,omitempty"`
	At    time.Time `json:"at"`
	End   time.Time `json:"end"`
}

// settleTime is the time after a fault that is excluded from the steady state.
const settleTime = 5 * time.Second

// isSteady reports whether the request overlaps neither a fault nor the settleTime
// after it.
func isSteady(o Observation, faults []Fault) bool {
	for _, f := range faults {
		if o.End.After(f.At) && o.Start.Before(f.End.Add(settleTime)) {
			return false
		}
	}
	return true
}

// computeMetrics computes the metrics that depend only on observations and faults.
func computeMetrics(observations []Observation, faults []Fault, sizes []OrganisationSize, elapsed time.Duration) Metrics {
	m := Metrics{Requests: len(observations), RefusalCodes: map[string]int{}}
	overRate := map[string]bool{}
	for _, size := range sizes {
		overRate[size.ID] = size.Demand > 1
	}
	var reads, writes []float64
	for _, o := range observations {
		if o.isRefusal() {
			m.Refusals++
			m.RefusalCodes[o.Code]++
			continue
		}
		if overRate[o.Organisation] {
			// Its callers fall behind by design, so its latencies do not count.
			continue
		}
		ms := float64(o.Latency()) / float64(time.Millisecond)
		switch o.Operation {
		case OperationRead:
			reads = append(reads, ms)
		case OperationWrite:
			writes = append(writes, ms)
		}
	}
	m.ReadP50MS, m.ReadP99MS = quantile(reads, 0.5), quantile(reads, 0.99)
	m.WriteP50MS, m.WriteP99MS = quantile(writes, 0.5), quantile(writes, 0.99)
	m.WorstShare, m.WorstOrganisation = worstShare(observations, sizes, elapsed)
	m.WrongfulByOrganisation = map[string]int{}
	m.WrongfulRefusals, m.WrongfulSteady = wrongfulRefusalShares(observations, faults, sizes, m.WrongfulByOrganisation)
	for _, f := range faults {
		if f.Kind == "primary_cut_off" {
			if gap, ok := failoverGap(observations, f); ok {
				m.FailoverGapsMS = append(m.FailoverGapsMS, gap)
			} else {
				m.UnresolvedFailovers++
			}
		}
	}
	m.FailoverGapMS = quantile(m.FailoverGapsMS, 0.5)
	return m
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return math.Round(sorted[max(i, 0)]*100) / 100
}

// worstShare returns the smallest fraction of its requested statements within the
// rate that an organisation was served, and the organisation.
func worstShare(observations []Observation, sizes []OrganisationSize, elapsed time.Duration) (float64, string) {
	worst, name := 1.0, ""
	for _, size := range sizes {
		asked, served := 0.0, 0.0
		for _, o := range observations {
			if o.Organisation != size.ID {
				continue
			}
			asked += float64(o.Statements)
			if !o.isRefusal() {
				served += float64(o.Statements)
			}
		}
		entitled := min(asked, size.Rate*elapsed.Seconds()+size.Burst)
		if entitled <= 0 {
			continue
		}
		if share := min(1, served/entitled); share < worst || name == "" {
			worst, name = share, size.ID
		}
	}
	return worst, name
}

// wrongfulRefusalShares returns the fraction of statements that were refused
// although they were within an organisation's rate, over the whole run and in the
// steady state. Statements within the rate are those that a single central token
// bucket admits of the same arrivals. Only numbers of statements are compared,
// since for an organisation above its rate the proxy and the bucket may admit
// different requests.
func wrongfulRefusalShares(observations []Observation, faults []Fault, sizes []OrganisationSize, byOrganisation map[string]int) (all, steady float64) {
	var total, steadyTotal tally
	for _, size := range sizes {
		var requests []Observation
		for _, o := range observations {
			if o.Organisation == size.ID {
				requests = append(requests, o)
			}
		}
		sort.Slice(requests, func(i, j int) bool { return decidedAt(requests[i]).Before(decidedAt(requests[j])) })
		b := tokenBucket{rate: size.Rate, burst: size.Burst, level: size.Burst}
		var overall, steadyOnly tally
		for _, o := range requests {
			admitted := b.take(decidedAt(o), float64(o.Statements))
			overall.add(o.Statements, admitted, !o.isRefusal())
			if isSteady(o, faults) {
				steadyOnly.add(o.Statements, admitted, !o.isRefusal())
			}
		}
		if n := overall.shortfall(); n > 0 {
			byOrganisation[size.ID] = n
		}
		total.merge(overall)
		steadyTotal.merge(steadyOnly)
	}
	return total.share(), steadyTotal.share()
}

// tally counts the statements that the reference bucket admits and those served.
type tally struct {
	admitted, served, wronglyRefused int
}

func (t *tally) add(statements int, admitted, served bool) {
	if admitted {
		t.admitted += statements
	}
	if served {
		t.served += statements
	}
}

// shortfall returns by how many statements served falls short of admitted.
func (t *tally) shortfall() int { return max(0, t.admitted-t.served) }

// merge adds the tally of one organisation to a total.
func (t *tally) merge(o tally) {
	t.admitted += o.admitted
	t.wronglyRefused += o.shortfall()
}

func (t *tally) share() float64 { return ratio(t.wronglyRefused, t.admitted) }

// decidedAt returns the time at which the rate limit is taken to have been
// applied: the start of a served request, and the end of a refused one, which may
// have been queued.
func decidedAt(o Observation) time.Time {
	if o.isRefusal() {
		return o.End
	}
	return o.Start
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// tokenBucket is the reference rate limiter, as a single host would run it.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

// take takes n tokens at now and reports whether there were enough.
func (b *tokenBucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// failoverGap returns the milliseconds from a fault to the first acknowledgement
// of a write of the group that started after the fault. It returns false if there
// was none.
func failoverGap(observations []Observation, f Fault) (float64, bool) {
	first := time.Time{}
	for _, o := range observations {
		if o.Group != f.Group || o.Operation != OperationWrite || o.isRefusal() || o.Start.Before(f.At) {
			continue
		}
		if first.IsZero() || o.End.Before(first) {
			first = o.End
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return math.Round(float64(first.Sub(f.At))/float64(time.Millisecond)*10) / 10, true
}

// rateWindows are the time windows over which rates are checked.
var rateWindows = []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// checkRates checks that no time window contains more served statements than rate
// and burst allow. A request counts if it started and ended in the window.
func checkRates(observations []Observation, sizes []OrganisationSize, l *Recorder) {
	for _, size := range sizes {
		var requests []Observation
		for _, o := range observations {
			if o.Organisation == size.ID && !o.isRefusal() {
				requests = append(requests, o)
			}
		}
		sort.Slice(requests, func(i, j int) bool { return requests[i].Start.Before(requests[j].Start) })
		for _, w := range rateWindows {
			allowed := size.Rate*w.Seconds() + size.Burst
			for i := range requests {
				end := requests[i].Start.Add(w)
				sum := 0
				for _, o := range requests[i:] {
					if o.Start.After(end) {
						break
					}
					if !o.End.After(end) {
						sum += o.Statements
					}
				}
				l.Check(InvariantWithinRate, float64(sum) <= allowed, "organisation %s: %d statements in %s, %g allowed", size.ID, sum, w, allowed)
			}
		}
	}
}

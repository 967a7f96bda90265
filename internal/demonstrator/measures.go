package demonstrator

import (
	"math"
	"sort"
	"time"
)

// Measures are the users' four measures and their context.
type Measures struct {
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMS is the median gap; the rest of the distribution follows.
	FailoverGapMS  float64   `json:"failover_gap_ms"`
	FailoverGapsMS []float64 `json:"failover_gaps_ms"`
	// FailoversUnended counts the faults after which the group acknowledged no
	// write until the end.
	FailoversUnended  int     `json:"failovers_unended"`
	WorstShare        float64 `json:"worst_organisation_share"`
	WorstOrganisation string  `json:"worst_organisation"`
	WrongfulRefusals  float64 `json:"wrongful_refusal_share"`
	WrongfulSteady    float64 `json:"wrongful_refusal_share_steady"`
	// WrongfulByOrganisation counts wrongful refusals.
	WrongfulByOrganisation map[string]int `json:"wrongful_refusals_by_organisation"`
	Requests               int            `json:"requests"`
	Refusals               int            `json:"refusals"`
	// RefusalCodes counts refusals by SQLSTATE; an empty one is a lost connection.
	RefusalCodes        map[string]int `json:"refusal_codes"`
	ReadP50MS           float64        `json:"read_p50_ms"`
	ReadP99MS           float64        `json:"read_p99_ms"`
	WriteP50MS          float64        `json:"write_p50_ms"`
	WriteP99MS          float64        `json:"write_p99_ms"`
	InForceMS           []float64      `json:"in_force_ms,omitempty"`
	KeyLastAcceptedMS   []float64      `json:"key_last_accepted_ms,omitempty"`
	LinkBytesPerRequest float64        `json:"link_bytes_per_request"`
}

// Fault is one fault that the demonstration brought about.
type Fault struct {
	Kind  string    `json:"kind"`
	Group string    `json:"group,omitempty"`
	At    time.Time `json:"at"`
	End   time.Time `json:"end"`
}

// settleTime is the time after a fault that does not count as steady.
const settleTime = 5 * time.Second

// isSteady reports whether no fault touches the request.
func isSteady(o Observation, faults []Fault) bool {
	for _, f := range faults {
		if o.End.After(f.At) && o.Start.Before(f.End.Add(settleTime)) {
			return false
		}
	}
	return true
}

// measure computes the measures that follow from observations alone.
func measure(observations []Observation, faults []Fault, sizes []OrganisationSize, elapsed time.Duration) Measures {
	m := Measures{Requests: len(observations), RefusalCodes: map[string]int{}}
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
			// Its callers fall behind by design.
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
	m.WrongfulRefusals, m.WrongfulSteady = wrongful(observations, faults, sizes, m.WrongfulByOrganisation)
	for _, f := range faults {
		if f.Kind == "primary_cut_off" {
			if gap, ok := failoverGap(observations, f); ok {
				m.FailoverGapsMS = append(m.FailoverGapsMS, gap)
			} else {
				m.FailoversUnended++
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

// worstShare returns the least part that an organisation got of what it asked
// for within its rate.
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

// wrongful returns the share of statements that were refused although they were
// within an organisation's rate, over all and without the time around faults.
// What was within the rate is what a single naive bucket admits of the same
// arrivals. An organisation that asks for more than its rate is judged by
// numbers, since the two need not admit the same ones of its requests.
func wrongful(observations []Observation, faults []Fault, sizes []OrganisationSize, byOrganisation map[string]int) (all, steady float64) {
	var total, quiet tally
	for _, size := range sizes {
		var own []Observation
		for _, o := range observations {
			if o.Organisation == size.ID {
				own = append(own, o)
			}
		}
		sort.Slice(own, func(i, j int) bool { return decidedAt(own[i]).Before(decidedAt(own[j])) })
		b := centralBucket{rate: size.Rate, burst: size.Burst, level: size.Burst}
		var everything, undisturbed tally
		for _, o := range own {
			admitted := b.take(decidedAt(o), float64(o.Statements))
			everything.add(o.Statements, admitted, !o.isRefusal())
			if isSteady(o, faults) {
				undisturbed.add(o.Statements, admitted, !o.isRefusal())
			}
		}
		if n := everything.missing(); n > 0 {
			byOrganisation[size.ID] = n
		}
		total.sum(everything)
		quiet.sum(undisturbed)
	}
	return total.share(), quiet.share()
}

// tally compares the statements that a naive bucket admits with those served.
type tally struct {
	admitted, served, missed int
}

func (t *tally) add(statements int, admitted, served bool) {
	if admitted {
		t.admitted += statements
	}
	if served {
		t.served += statements
	}
}

// missing returns how many statements fewer were served than admitted.
func (t *tally) missing() int { return max(0, t.admitted-t.served) }

// sum adds another organisation's tally.
func (t *tally) sum(o tally) {
	t.admitted += o.admitted
	t.missed += o.missing()
}

func (t *tally) share() float64 { return ratio(t.missed, t.admitted) }

// decidedAt is when the limit was certainly decided: at the start of a served
// request, and at the end of a refused one, which may have waited.
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

// centralBucket is the naive limiter that a single host would run.
type centralBucket struct {
	rate, burst, level float64
	at                 time.Time
}

// take reports whether the bucket admits n tokens at now, and spends them.
func (b *centralBucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func (b *centralBucket) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// failoverGap returns the time from a fault until the first write of the group
// that began after it was acknowledged.
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

// rateWindows are the windows over which the rate is checked.
var rateWindows = []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// checkRates checks that no window holds more served statements than rate and
// burst allow. A request counts in a window when it began and ended in it.
func checkRates(observations []Observation, sizes []OrganisationSize, l *Ledger) {
	for _, size := range sizes {
		var own []Observation
		for _, o := range observations {
			if o.Organisation == size.ID && !o.isRefusal() {
				own = append(own, o)
			}
		}
		sort.Slice(own, func(i, j int) bool { return own[i].Start.Before(own[j].Start) })
		for _, w := range rateWindows {
			allowed := size.Rate*w.Seconds() + size.Burst
			for i := range own {
				end := own[i].Start.Add(w)
				sum := 0
				for _, o := range own[i:] {
					if o.Start.After(end) {
						break
					}
					if !o.End.After(end) {
						sum += o.Statements
					}
				}
				l.Check(MustWithinRate, float64(sum) <= allowed, "organisation %s: %d statements in %s, %g allowed", size.ID, sum, w, allowed)
			}
		}
	}
}

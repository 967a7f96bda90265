package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/limiter"
)

// The parameters of the simulation: one organisation on six hosts.
const (
	shareHosts    = 6
	shareRate     = 100.0
	shareBurst    = 50.0
	shareTick     = 5 * time.Millisecond
	shareDuration = 60 * time.Second
	// shareNetworkDelay is the one-way delay between a host and the allocator.
	shareNetworkDelay = 30 * time.Millisecond
	// shareReportInterval is the interval of regular reports, and
	// shareMinReportInterval the minimum interval of early ones.
	shareReportInterval    = 500 * time.Millisecond
	shareMinReportInterval = 20 * time.Millisecond
	// shareMaxWait is the maximum time that a request waits for a token.
	shareMaxWait = 300 * time.Millisecond
)

// sharePolicy is a policy of dividing rate and burst among hosts.
type sharePolicy struct {
	name string
	// floor is the fraction that is divided evenly among the hosts; the rest is
	// allocated by demand.
	floor float64
}

var sharePolicies = []sharePolicy{{"even split", 1}, {"tokens by demand", 0}, {"20% floor, rest by demand", 0.2}}

// shareTrace gives the demand of a host at a time, in requests per second, and
// whether the host is cut off from the allocator.
type shareTrace struct {
	name   string
	demand func(host int, t time.Duration) float64
	cut    func(host int, t time.Duration) bool
}

func isBetween(t, from, to time.Duration) bool { return t >= from && t < to }

var shareTraces = []shareTrace{
	{name: "even", demand: func(int, time.Duration) float64 { return 0.7 * shareRate / shareHosts }},
	{name: "skew: 80% on one host", demand: func(h int, _ time.Duration) float64 {
		if h == 0 {
			return 0.8 * 0.7 * shareRate
		}
		return 0.2 * 0.7 * shareRate / (shareHosts - 1)
	}},
	{name: "roaming: the busy host moves every 5 s", demand: func(h int, t time.Duration) float64 {
		if int(t/(5*time.Second))%shareHosts == h {
			return 0.6 * shareRate
		}
		return 0.02 * shareRate
	}},
	{name: "bursts of 40 on one host every 4 s", demand: func(h int, t time.Duration) float64 {
		if h == 0 && t%(4*time.Second) < 100*time.Millisecond {
			return 400
		}
		return 0.05 * shareRate
	}},
	{name: "5 times the rate", demand: func(int, time.Duration) float64 { return 5 * shareRate / shareHosts }},
	{name: "two hosts cut off for 10 s", demand: func(int, time.Duration) float64 { return 0.7 * shareRate / shareHosts },
		cut: func(h int, t time.Duration) bool { return h < 2 && isBetween(t, 20*time.Second, 30*time.Second) }},
	{name: "allocator lost for 5 s", demand: func(int, time.Duration) float64 { return 0.7 * shareRate / shareHosts },
		cut: func(_ int, t time.Duration) bool { return isBetween(t, 20*time.Second, 25*time.Second) }},
}

// tokenBucket is a plain token bucket. One for all hosts is the reference for the
// policies.
type tokenBucket struct{ level float64 }

func (b *tokenBucket) refill(rate, burst float64) {
	b.level = min(burst, b.level+rate*shareTick.Seconds())
}

func (b *tokenBucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// shareHost is one simulated host.
type shareHost struct {
	floor  tokenBucket
	bucket limiter.Bucket
	// deadlines are those of the waiting requests, in order of arrival.
	deadlines []time.Duration
	reported  time.Duration
}

// shareMessage is a report or a grant in transit; report is nil for a grant.
type shareMessage struct {
	due    time.Duration
	host   int
	report *allocator.Report
	total  float64
}

// measureShares simulates all policies on the same traces. The value is the
// fraction of the requests admitted by a single bucket that was not served.
func measureShares() []Measurement {
	var rows []Measurement
	for _, trace := range shareTraces {
		for _, policy := range sharePolicies {
			rows = append(rows, Measurement{fmt.Sprintf("refused within rate, %s, %s", trace.name, policy.name), shareHosts, simulateShares(trace, policy), "share"})
		}
	}
	return rows
}

// shareSimulation is the state of the simulation of one policy on one trace.
type shareSimulation struct {
	policy   sharePolicy
	trace    shareTrace
	hosts    [shareHosts]*shareHost
	alloc    allocator.Allocator
	inFlight []shareMessage
	served   int
}

func simulateShares(trace shareTrace, policy sharePolicy) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	s := &shareSimulation{policy: policy, trace: trace}
	start := time.Unix(0, 0)
	s.alloc.SetOrganisation("o", shareRate*(1-policy.floor)+1e-9, shareBurst*(1-policy.floor)+1e-9, start)
	for i := range s.hosts {
		s.hosts[i] = &shareHost{floor: tokenBucket{shareBurst * policy.floor / shareHosts}}
		s.hosts[i].bucket.Horizon = limiter.HorizonOf(shareRate*(1-policy.floor), shareBurst*(1-policy.floor))
	}
	reference := tokenBucket{shareBurst}
	admitted := 0
	for t := time.Duration(0); t < shareDuration; t += shareTick {
		reference.refill(shareRate, shareBurst)
		s.deliver(t, start)
		for i, h := range s.hosts {
			h.floor.refill(shareRate*policy.floor/shareHosts, shareBurst*policy.floor/shareHosts)
			for n := drawArrivals(rnd, trace.demand(i, t)); n > 0; n-- {
				if reference.take() {
					admitted++
				}
				h.bucket.RecordDemand(1, start.Add(t))
				h.deadlines = append(h.deadlines, t+shareMaxWait)
			}
			s.serve(h, t)
			s.report(i, t, start)
		}
	}
	return max(0, 1-float64(s.served)/float64(admitted))
}

// drawArrivals returns a random number of requests for one tick.
func drawArrivals(rnd *rand.Rand, perSecond float64) int {
	n := 0
	for left := perSecond * shareTick.Seconds(); left > 0; left-- {
		if rnd.Float64() < left {
			n++
		}
	}
	return n
}

// serve serves waiting requests while there are tokens and drops those past their
// deadline.
func (s *shareSimulation) serve(h *shareHost, t time.Duration) {
	for len(h.deadlines) > 0 && (h.floor.take() || h.bucket.Take(1)) {
		h.deadlines = h.deadlines[1:]
		s.served++
	}
	for len(h.deadlines) > 0 && h.deadlines[0] <= t {
		h.deadlines = h.deadlines[1:]
	}
}

func (s *shareSimulation) isCut(host int, t time.Duration) bool {
	return s.trace.cut != nil && s.trace.cut(host, t)
}

func (s *shareSimulation) report(i int, t time.Duration, start time.Time) {
	h := s.hosts[i]
	early := (len(h.deadlines) > 0 || h.bucket.IsLow()) && t-h.reported >= shareMinReportInterval
	if s.policy.floor == 1 || s.isCut(i, t) || !early && t-h.reported < shareReportInterval {
		return
	}
	h.reported = t
	now := start.Add(t)
	h.bucket.ReturnSurplus(now)
	s.inFlight = append(s.inFlight, shareMessage{due: t + shareNetworkDelay, host: i, report: &allocator.Report{
		Host: fmt.Sprint(i), Organisation: "o", SpentTotal: h.bucket.Spent, ReturnedTotal: h.bucket.Returned,
		ReceivedTotal: h.bucket.Received, Wanted: h.bucket.Wanted(now) + float64(len(h.deadlines)),
	}})
}

// deliver delivers the messages that are due and sends the allocator's grants.
func (s *shareSimulation) deliver(t time.Duration, start time.Time) {
	var later []shareMessage
	for _, m := range s.inFlight {
		switch {
		case m.due > t:
			later = append(later, m)
		case s.isCut(m.host, t):
		case m.report != nil:
			s.alloc.Report(*m.report, start.Add(t))
		default:
			s.hosts[m.host].bucket.Grant(m.total)
		}
	}
	s.inFlight = later
	for _, g := range s.alloc.GrantAll(start.Add(t)) {
		host := int(g.Host[0] - '0')
		s.inFlight = append(s.inFlight, shareMessage{due: t + shareNetworkDelay, host: host, total: g.GrantedTotal})
	}
}

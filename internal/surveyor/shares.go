package surveyor

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/limiter"
)

// The traces' sizes: one organisation on six hosts.
const (
	shareHosts  = 6
	shareRate   = 100.0
	shareBurst  = 50.0
	shareTick   = 5 * time.Millisecond
	shareLength = 60 * time.Second
	// shareDelay is the way from a host to the allocator or back.
	shareDelay = 30 * time.Millisecond
	// shareReport is the time between reports, and shareEarly the least time
	// before an early one.
	shareReport = 500 * time.Millisecond
	shareEarly  = 20 * time.Millisecond
	// shareWait bounds the wait of a request.
	shareWait = 300 * time.Millisecond
)

// shareWay is a way to divide rate and burst.
type shareWay struct {
	name string
	// floor is the part that each host has for itself, divided evenly; the
	// rest is handed out by demand.
	floor float64
}

var shareWays = []shareWay{{"even split", 1}, {"tokens by demand", 0}, {"20% floor, rest by demand", 0.2}}

// shareTrace tells the demand of a host at a time, in requests a second, and
// whether the host reaches the allocator.
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

// naiveBucket is the single bucket that a way is compared with.
type naiveBucket struct{ level float64 }

func (b *naiveBucket) refill(rate, burst float64) {
	b.level = min(burst, b.level+rate*shareTick.Seconds())
}

func (b *naiveBucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// shareHost is one host of a trace.
type shareHost struct {
	floor  naiveBucket
	bucket limiter.Bucket
	// waiting are the deadlines of requests that wait.
	waiting  []time.Duration
	reported time.Duration
}

// message is a report or a grant under way.
type shareMessage struct {
	due    time.Duration
	host   int
	report *allocator.Report
	total  float64
}

// surveyShares runs all ways on the same traces. The value of a row is the
// share of what a single bucket admits that was not served.
func surveyShares() []Row {
	var rows []Row
	for _, trace := range shareTraces {
		for _, way := range shareWays {
			rows = append(rows, Row{fmt.Sprintf("refused within rate, %s, %s", trace.name, way.name), shareHosts, runShares(trace, way), "share"})
		}
	}
	return rows
}

// shareRun is the state of one way on one trace.
type shareRun struct {
	way    shareWay
	trace  shareTrace
	hosts  [shareHosts]*shareHost
	alloc  allocator.Allocator
	flight []shareMessage
	served int
}

func runShares(trace shareTrace, way shareWay) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	r := &shareRun{way: way, trace: trace}
	start := time.Unix(0, 0)
	r.alloc.SetOrganisation("o", shareRate*(1-way.floor)+1e-9, shareBurst*(1-way.floor)+1e-9, start)
	for i := range r.hosts {
		r.hosts[i] = &shareHost{floor: naiveBucket{shareBurst * way.floor / shareHosts}}
		r.hosts[i].bucket.Horizon = limiter.HorizonOf(shareRate*(1-way.floor), shareBurst*(1-way.floor))
	}
	naive := naiveBucket{shareBurst}
	admitted := 0
	for t := time.Duration(0); t < shareLength; t += shareTick {
		naive.refill(shareRate, shareBurst)
		r.deliver(t, start)
		for i, h := range r.hosts {
			h.floor.refill(shareRate*way.floor/shareHosts, shareBurst*way.floor/shareHosts)
			for n := arrivals(rnd, trace.demand(i, t)); n > 0; n-- {
				if naive.take() {
					admitted++
				}
				h.bucket.Ask(1, start.Add(t))
				h.waiting = append(h.waiting, t+shareWait)
			}
			r.serve(h, t)
			r.report(i, t, start)
		}
	}
	return max(0, 1-float64(r.served)/float64(admitted))
}

// arrivals draws the number of requests in one tick.
func arrivals(rnd *rand.Rand, perSecond float64) int {
	n := 0
	for left := perSecond * shareTick.Seconds(); left > 0; left-- {
		if rnd.Float64() < left {
			n++
		}
	}
	return n
}

// serve spends tokens on waiting requests and refuses those that waited long.
func (r *shareRun) serve(h *shareHost, t time.Duration) {
	for len(h.waiting) > 0 && (h.floor.take() || h.bucket.Take(1)) {
		h.waiting = h.waiting[1:]
		r.served++
	}
	for len(h.waiting) > 0 && h.waiting[0] <= t {
		h.waiting = h.waiting[1:]
	}
}

func (r *shareRun) isCut(host int, t time.Duration) bool {
	return r.trace.cut != nil && r.trace.cut(host, t)
}

func (r *shareRun) report(i int, t time.Duration, start time.Time) {
	h := r.hosts[i]
	early := (len(h.waiting) > 0 || h.bucket.IsLow()) && t-h.reported >= shareEarly
	if r.way.floor == 1 || r.isCut(i, t) || !early && t-h.reported < shareReport {
		return
	}
	h.reported = t
	now := start.Add(t)
	h.bucket.Settle(now)
	r.flight = append(r.flight, shareMessage{due: t + shareDelay, host: i, report: &allocator.Report{
		Host: fmt.Sprint(i), Organisation: "o", SpentTotal: h.bucket.Spent, ReturnedTotal: h.bucket.Returned,
		ReceivedTotal: h.bucket.Received, Wanted: h.bucket.Wanted(now) + float64(len(h.waiting)),
	}})
}

// deliver hands over what has arrived, and the allocator's answers.
func (r *shareRun) deliver(t time.Duration, start time.Time) {
	var later []shareMessage
	for _, m := range r.flight {
		switch {
		case m.due > t:
			later = append(later, m)
		case r.isCut(m.host, t):
		case m.report != nil:
			r.alloc.Report(*m.report, start.Add(t))
		default:
			r.hosts[m.host].bucket.Grant(m.total)
		}
	}
	r.flight = later
	for _, g := range r.alloc.Allot(start.Add(t)) {
		host := int(g.Host[0] - '0')
		r.flight = append(r.flight, shareMessage{due: t + shareDelay, host: host, total: g.GrantedTotal})
	}
}

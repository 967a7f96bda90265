package launcher

import (
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/acceptor"
	"github.com/shallotstage/shallotstage/internal/budgeter"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/transactor"
)

const (
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// entryLinkDivisor and controlLinkDivisor divide all descriptors to get the links
	// that other hosts may open, and as many again for connections that this host opens.
	// Every entry host has a link to the leading control host: with 4,096 descriptors a
	// fleet of 1,000 fits.
	entryLinkDivisor   = 8
	controlLinkDivisor = 4
	// probeDivisor divides them to get those of the metrics and readiness listeners,
	// with minProbes as the least.
	probeDivisor = 64
	minProbes    = 16
)

// descriptorParts are the parts that the listeners of a process have of its descriptors; zero
// means no limit.
type descriptorParts struct {
	links, probes int
	// rest is for callers of an entry host, or operators and upstreams of a control host.
	rest int
}

// divideDescriptors divides the descriptors of a process; zero means that there is no
// limit.
func divideDescriptors(descriptors int64, linkDivisor int) descriptorParts {
	if descriptors <= 0 {
		return descriptorParts{}
	}
	n := int(descriptors)
	p := descriptorParts{links: max(1, n/linkDivisor), probes: max(minProbes, n/probeDivisor)}
	p.rest = max(1, n-fileDescriptors-2*p.links-2*p.probes)
	return p
}

// processLimits bounds what a process holds for others, and counts what it closed.
type processLimits struct {
	budget      *budgeter.Budget
	descriptors descriptorParts
	log         *logger.Logger
	// closed counts closed connections by listener, and closed sessions by reason.
	closed *prometheus.CounterVec
}

func newProcessLimits(memory, descriptors int64, linkDivisor int, log *logger.Logger) *processLimits {
	l := &processLimits{descriptors: divideDescriptors(descriptors, linkDivisor), log: log}
	l.budget = &budgeter.Budget{Bytes: budgeter.BytesFor(memory), OnClose: func(k budgeter.Kind, bytes int64) {
		log.Warn(logger.EventHolderClosed, zap.String("kind", string(k)), zap.Int64("bytes", bytes))
	}}
	l.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotstage_closed_connections_total", Help: "Connections closed to make room or because their other end did not go on, by listener and reason.",
	}, []string{"listener", "reason"})
	return l
}

// bound returns a listener with a bounded number of connections.
func (l *processLimits) bound(name string, listener net.Listener, connections int) net.Listener {
	return &acceptor.Bounded{Listener: listener, Max: connections, OnClose: func(conn net.Conn) {
		l.closed.WithLabelValues(name, string(transactor.CloseEvicted)).Inc()
		l.log.Warn(logger.EventConnectionClosed, zap.String("listener", name), zap.Stringer("from", conn.RemoteAddr()))
	}}
}

// sessionClosed counts a closed session.
func (l *processLimits) sessionClosed(reason transactor.CloseReason) {
	l.closed.WithLabelValues("callers", string(reason)).Inc()
}

// register registers the metrics of the limits.
func (l *processLimits) register(registry *prometheus.Registry) {
	registry.MustRegister(l.closed)
	for _, k := range budgeter.Kinds() {
		labels := prometheus.Labels{"kind": string(k)}
		registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shallotstage_held_bytes", Help: "Memory that is held for others and counts in the budget, by kind of holder.", ConstLabels: labels},
				func() float64 { return float64(l.budget.Usage(k).Bytes) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "shallotstage_closed_holders_total", Help: "Holders closed because the budget was used up, by kind.", ConstLabels: labels},
				func() float64 { return float64(l.budget.Usage(k).Closed) }),
		)
	}
}

// bodyCost is the memory of a request's body by its size: its buffer grows, and what is
// decoded from it is about as large.
const bodyCost = 3

// holdBodies makes the bodies of a handler's requests count in the budget until the handler
// returns.
func (l *processLimits) holdBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := newHeldBody(l.budget, w, r.Body)
		defer body.holder.End()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

package watcher

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/internal/pooler"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// urgentProbeInterval is the delay between probes while a caller waits for a
	// position.
	urgentProbeInterval = 2 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
)

// Monitor probes one upstream over a dedicated connection.
type Monitor struct {
	Upstream    string
	GroupStatus *GroupStatus
	// Connect opens the connection.
	Connect func(ctx context.Context) (*pgconn.PgConn, error)
	// Interval is the delay between probes while no caller waits for a position.
	Interval time.Duration
	// Timeout limits a probe and the opening of a connection; logins that run out of
	// time get longer.
	Timeout time.Duration
	// IsPrimary reports whether the upstream is the primary of its group under a
	// valid lease. It is called after each successful probe.
	IsPrimary func() bool
	// OnReachabilityChange, if set, is called when the upstream becomes
	// reachable or unreachable.
	OnReachabilityChange func()
	// OnConnectError, if set, is called each time that opening a connection
	// fails.
	OnConnectError func()

	loginTimeout pooler.LoginTimeout
	// probes is the number of queries sent.
	probes uint64
}

// Run probes until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := m.connect(ctx)
		if err != nil {
			m.setReachable(false)
			if m.OnConnectError != nil {
				m.OnConnectError()
			}
			m.waitForProbe(ctx)
			continue
		}
		m.probeLoop(ctx, conn)
		_ = conn.Close(ctx)
	}
}

func (m *Monitor) connect(ctx context.Context) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.loginTimeout.Next(m.Timeout))
	defer cancel()
	conn, err := m.Connect(ctx)
	m.loginTimeout.Record(err)
	return conn, err
}

// probeLoop probes until the connection fails or ctx ends.
func (m *Monitor) probeLoop(ctx context.Context, conn *pgconn.PgConn) {
	for ctx.Err() == nil {
		if err := m.probe(ctx, conn); err != nil {
			// The upstream is marked unreachable only if a new connection fails
			// too, as the fault may be in this connection alone.
			return
		}
		m.skipRedundantProbes(ctx)
	}
}

// maxProbeIntervals is the maximum number of intervals between two probes while
// request traffic reports positions.
const maxProbeIntervals = 5

// skipRedundantProbes waits until the next probe is due. It skips a probe if
// request traffic reported a position in the meantime and no caller waits.
func (m *Monitor) skipRedundantProbes(ctx context.Context) {
	for range maxProbeIntervals {
		start := time.Now()
		m.waitForProbe(ctx)
		waiting, _ := m.GroupStatus.hasWaiters()
		if waiting || ctx.Err() != nil || !m.GroupStatus.reportedSince(m.Upstream, start) {
			return
		}
	}
}

func (m *Monitor) probe(ctx context.Context, conn *pgconn.PgConn) error {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	start := time.Now()
	p, err := m.queryPosition(ctx, conn)
	if err != nil {
		return err
	}
	latency := time.Since(start)
	m.setReachable(true)
	m.GroupStatus.update(m.Upstream, func(s *UpstreamStatus) {
		s.Position = p
		if s.Latency == 0 {
			s.Latency = latency
		}
		s.Latency += time.Duration(latencyWeight * float64(latency-s.Latency))
	})
	if m.IsPrimary() {
		m.GroupStatus.addSample(tracker.Sample{At: start, Position: p})
	}
	return nil
}

// settingProbe is the session setting that holds a probe's number.
const settingProbe = "shallotstage.probe"

// queryPosition queries the upstream's position. The query carries a number that its
// response must return, since nothing else ties a response to a query.
func (m *Monitor) queryPosition(ctx context.Context, conn *pgconn.PgConn) (tracker.Position, error) {
	m.probes++
	number := strconv.FormatUint(m.probes, 10)
	query := fmt.Sprintf("SET %[1]s = '%[2]s'; SHOW %[1]s; SHOW upstream_position", settingProbe, number)
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return tracker.Position{}, err
	}
	if len(results) != 3 || firstValue(results[1]) != number {
		return tracker.Position{}, fmt.Errorf("watcher: response of upstream %s is not the one to probe %s", m.Upstream, number)
	}
	return tracker.ParsePosition(firstValue(results[2]))
}

// firstValue returns the first value of a result, or nothing.
func firstValue(r *pgconn.Result) string {
	if len(r.Rows) == 0 || len(r.Rows[0]) == 0 {
		return ""
	}
	return string(r.Rows[0][0])
}

// setReachable records whether the upstream is reachable.
func (m *Monitor) setReachable(reachable bool) {
	changed := false
	m.GroupStatus.update(m.Upstream, func(s *UpstreamStatus) {
		if s.Reachable == reachable && !s.Since.IsZero() {
			return
		}
		s.Reachable = reachable
		s.Since = time.Now()
		changed = true
	})
	if changed && m.OnReachabilityChange != nil {
		m.OnReachabilityChange()
	}
}

// waitForProbe waits until the next probe is due or a caller starts to wait for
// a position.
func (m *Monitor) waitForProbe(ctx context.Context) {
	waiting, wake := m.GroupStatus.hasWaiters()
	wait := m.Interval
	if waiting {
		wait = urgentProbeInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

package watcher

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// closeProbeGap is the least time between probes while someone waits.
	closeProbeGap = 2 * time.Millisecond
	// latencyWeight is the weight of a new latency in the smoothed one.
	latencyWeight = 0.2
)

// Monitor probes one upstream over a connection of its own.
type Monitor struct {
	Upstream string
	Board    *Board
	// Connect opens the connection.
	Connect func(ctx context.Context) (*pgconn.PgConn, error)
	// Interval is the time between probes when nobody waits.
	Interval time.Duration
	// Timeout bounds a probe and the opening of a connection.
	Timeout time.Duration
	// IsPrimary reports whether the upstream is, under a valid lease, the
	// primary of its group. It is asked after each answer.
	IsPrimary func() bool
	// Turned is called when the upstream becomes reachable or unreachable.
	Turned func()
	// Missed is called each time that a new connection fails.
	Missed func()
}

// Run probes until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := m.connect(ctx)
		if err != nil {
			m.turn(false)
			if m.Missed != nil {
				m.Missed()
			}
			m.rest(ctx)
			continue
		}
		m.probeAll(ctx, conn)
		_ = conn.Close(ctx)
	}
}

func (m *Monitor) connect(ctx context.Context) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	return m.Connect(ctx)
}

// probeAll probes until the connection fails or ctx ends.
func (m *Monitor) probeAll(ctx context.Context, conn *pgconn.PgConn) {
	for ctx.Err() == nil {
		if err := m.probe(ctx, conn); err != nil {
			// The next connection decides: a silent connection is replaced
			// before the upstream is suspected.
			return
		}
		m.restWhileHeard(ctx)
	}
}

// maxUnprobed bounds the probes in a row that traffic makes needless.
const maxUnprobed = 5

// restWhileHeard waits for the next probe's time. Traffic that has brought a
// position since takes the place of a probe, unless someone waits.
func (m *Monitor) restWhileHeard(ctx context.Context) {
	for range maxUnprobed {
		start := time.Now()
		m.rest(ctx)
		wanted, _ := m.Board.pending()
		if wanted || ctx.Err() != nil || !m.Board.heardSince(m.Upstream, start) {
			return
		}
	}
}

func (m *Monitor) probe(ctx context.Context, conn *pgconn.PgConn) error {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	start := time.Now()
	results, err := conn.Exec(ctx, "SHOW upstream_position").ReadAll()
	if err != nil {
		return err
	}
	p, err := tracker.ParsePosition(string(results[0].Rows[0][0]))
	if err != nil {
		return err
	}
	latency := time.Since(start)
	m.turn(true)
	m.Board.update(m.Upstream, func(s *Sight) {
		s.Position = p
		if s.Latency == 0 {
			s.Latency = latency
		}
		s.Latency += time.Duration(latencyWeight * float64(latency-s.Latency))
	})
	if m.IsPrimary() {
		m.Board.addSample(tracker.Sample{At: start, Position: p})
	}
	return nil
}

// turn records whether the upstream answers.
func (m *Monitor) turn(reachable bool) {
	turned := false
	m.Board.update(m.Upstream, func(s *Sight) {
		if s.Reachable == reachable && !s.Since.IsZero() {
			return
		}
		s.Reachable = reachable
		s.Since = time.Now()
		turned = true
	})
	if turned && m.Turned != nil {
		m.Turned()
	}
}

// rest waits for the next probe's time.
func (m *Monitor) rest(ctx context.Context) {
	wanted, kick := m.Board.pending()
	wait := m.Interval
	if wanted {
		wait = closeProbeGap
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-kick:
	}
}

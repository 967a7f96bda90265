package transactor

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
)

// ProbeSilent probes upstreams that leave all requests unanswered, until ctx is
// done.
func (t *UpstreamTracker) ProbeSilent(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range t.unresponsive() {
			t.StartProbe(ctx, id)
		}
	}
}

func (t *UpstreamTracker) unresponsive() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	now := t.Now()
	for id, s := range t.upstreams {
		if s.outstanding > 0 && !s.probing && now.Sub(s.silentSince) > silenceBeforeProbe {
			ids = append(ids, id)
		}
	}
	return ids
}

// StartProbe starts probing an upstream and returns at once. The upstream is
// suspect while it does not accept connections.
func (t *UpstreamTracker) StartProbe(ctx context.Context, id string) {
	t.mu.Lock()
	s := t.upstreams[id]
	if s == nil || s.probing {
		t.mu.Unlock()
		return
	}
	s.probing = true
	address := s.upstream.Address
	t.mu.Unlock()
	go t.probe(ctx, id, address, s)
}

func (t *UpstreamTracker) probe(ctx context.Context, id, address string, s *upstreamState) {
	connect := t.Connect
	if connect == nil {
		connect = connectTCP
	}
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := connect(probeCtx, address)
		cancel()
		if t.ConnectRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
			t.ConnectRefused(id)
		}
		if t.recordProbe(id, s, err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// recordProbe records the result of a probe. It returns true when probing is
// finished.
func (t *UpstreamTracker) recordProbe(id string, s *upstreamState, err error) bool {
	t.mu.Lock()
	changed := s.suspect != (err != nil)
	s.suspect = err != nil
	if changed && s.suspect {
		s.suspectSince = t.Now()
	}
	current := t.upstreams[id] == s
	if err == nil || !current {
		s.probing = false
		s.silentSince = t.Now()
	}
	done := !s.probing
	t.mu.Unlock()
	if changed && current {
		t.reportChange(id, err)
	}
	return done
}

func (t *UpstreamTracker) reportChange(id string, err error) {
	if err != nil {
		t.Log.Warn(logger.EventUpstreamSuspect, zap.String("upstream", id), zap.Error(err))
	} else {
		t.Log.Info(logger.EventUpstreamRecovered, zap.String("upstream", id))
	}
	if t.StatusChanged != nil {
		t.StatusChanged()
	}
}

func connectTCP(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

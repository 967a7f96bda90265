package transactor

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
)

// Watch probes upstreams that leave every request unanswered, until ctx ends.
func (b *Board) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range b.silent() {
			b.Doubt(ctx, id)
		}
	}
}

func (b *Board) silent() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	now := b.Now()
	for id, s := range b.upstreams {
		if s.outstanding > 0 && !s.probing && now.Sub(s.silentSince) > silenceBeforeProbe {
			ids = append(ids, id)
		}
	}
	return ids
}

// Doubt probes an upstream and, while it does not accept a connection, holds it
// suspect. It returns at once.
func (b *Board) Doubt(ctx context.Context, id string) {
	b.mu.Lock()
	s := b.upstreams[id]
	if s == nil || s.probing {
		b.mu.Unlock()
		return
	}
	s.probing = true
	b.mu.Unlock()
	go b.probe(ctx, id, s)
}

func (b *Board) probe(ctx context.Context, id string, s *sight) {
	connect := b.Connect
	if connect == nil {
		connect = connectTCP
	}
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := connect(probeCtx, s.upstream.Address)
		cancel()
		if b.judge(id, s, err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// judge takes the outcome of a probe. It returns true when probing ends.
func (b *Board) judge(id string, s *sight, err error) bool {
	b.mu.Lock()
	changed := s.suspect != (err != nil)
	s.suspect = err != nil
	if changed && s.suspect {
		s.suspectAt = b.Now()
	}
	current := b.upstreams[id] == s
	if err == nil || !current {
		s.probing = false
		s.silentSince = b.Now()
	}
	done := !s.probing
	b.mu.Unlock()
	if changed && current {
		b.tell(id, err)
	}
	return done
}

func (b *Board) tell(id string, err error) {
	if err != nil {
		b.Log.Warn(logger.EventUpstreamSuspect, zap.String("upstream", id), zap.Error(err))
	} else {
		b.Log.Info(logger.EventUpstreamBack, zap.String("upstream", id))
	}
	if b.SightsChanged != nil {
		b.SightsChanged()
	}
}

func connectTCP(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Package sampler caches recent log positions of primaries, which reads from
// replicas need, and coalesces the requests of many hosts for them.
//
// A host without a recent sample asks the sample host of the service in its own
// region, the sample host asks the host that owns the connections to the primary,
// and that host asks the primary. Each of them answers from its cache while the
// sample there is recent enough, and otherwise sends one request for all that
// wait. The age of a sample counts from before the primary was asked, by each
// host's own clock.
//
// # Usage
//
//	s := &sampler.Sampler{Forwarder: f, SampleHosts: sampleHosts, Owner: owner, QueryPrimary: ask, ...}
//	err := s.Refresh(ctx, "ledger-1", 500*time.Millisecond)
//	serve := s.Handler(header)   // on sample hosts and owners
package sampler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// fetchTimeout limits a fetch: several round trips between regions.
const fetchTimeout = 300 * time.Millisecond

// ErrNoSample means that no host could provide a recent position.
var ErrNoSample = errors.New("sampler: no recent position of the primary")

// SampleHost is a host that caches samples for others.
type SampleHost struct {
	Host    string
	Address string
}

// Sampler fetches samples and serves them to other hosts. All fields must be
// set before use.
type Sampler struct {
	Forwarder *forwarder.Forwarder
	// SampleHosts returns the hosts of this region that cache samples of a
	// service, in order of preference. One without an address is this host.
	SampleHosts func(service string) []SampleHost
	// Owner returns the host that owns the connections to a service's primary.
	// Without an address it is this host, or there is none.
	Owner func(service string) SampleHost
	// QueryPrimary requests the position from the primary, and passes it to
	// StoreSample.
	QueryPrimary func(ctx context.Context, service string) error
	// Latest returns the newest sample.
	Latest func(service string) (tracker.Sample, bool)
	// StoreSample stores a position that the primary reported at or after a time.
	StoreSample func(service string, at time.Time, p tracker.Position)
	// Now returns the time of a clock that keeps running while the machine is
	// suspended.
	Now func() time.Time
	Log *logger.Logger
	// Backoffer tracks the hosts that did not answer.
	Backoffer backoffer.Backoffer

	mu      sync.Mutex
	pending map[fetchKey]*pendingFetch
}

// fetchKey identifies a fetch. It includes the stage, as a fetch that asks the
// primary directly must not wait for a fetch that asks other hosts.
type fetchKey struct {
	service string
	stage   stage
}

// stage is a host's role in a fetch.
type stage string

// The values of stage.
const (
	stageReader     stage = "reader"
	stageSampleHost stage = "sample_host"
	stageOwner      stage = "owner"
)

// pendingFetch is a fetch in progress.
type pendingFetch struct {
	done chan struct{}
	err  error
}

// Refresh returns once the newest sample of a service is no older than maxAge,
// or with an error.
func (s *Sampler) Refresh(ctx context.Context, service string, maxAge time.Duration) error {
	return s.refresh(ctx, service, maxAge, stageReader)
}

func (s *Sampler) refresh(ctx context.Context, service string, maxAge time.Duration, at stage) error {
	if s.isFresh(service, maxAge) {
		return nil
	}
	f := s.join(ctx, fetchKey{service, at}, maxAge)
	select {
	case <-f.done:
	case <-ctx.Done():
		return fmt.Errorf("sampler: wait for service %s: %w", service, ctx.Err())
	}
	if f.err != nil {
		return f.err
	}
	if !s.isFresh(service, maxAge) {
		return ErrNoSample
	}
	return nil
}

func (s *Sampler) isFresh(service string, maxAge time.Duration) bool {
	sample, ok := s.Latest(service)
	return ok && s.Now().Sub(sample.At) <= maxAge
}

// join returns the fetch in progress, or starts one.
func (s *Sampler) join(ctx context.Context, key fetchKey, maxAge time.Duration) *pendingFetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.pending[key]; f != nil {
		return f
	}
	if s.pending == nil {
		s.pending = map[fetchKey]*pendingFetch{}
	}
	f := &pendingFetch{done: make(chan struct{})}
	s.pending[key] = f
	// The fetch must survive the reader that started it: others wait for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	go func() {
		defer cancel()
		f.err = s.fetch(ctx, key, maxAge)
		s.mu.Lock()
		delete(s.pending, key)
		s.mu.Unlock()
		close(f.done)
	}()
	return f
}

// fetch asks the next host or the primary, depending on the stage.
func (s *Sampler) fetch(ctx context.Context, key fetchKey, maxAge time.Duration) error {
	switch key.stage {
	case stageReader:
		for _, k := range s.SampleHosts(key.service) {
			if k.Address == "" {
				return s.refresh(ctx, key.service, maxAge, stageSampleHost)
			}
			if s.Backoffer.InBackoff(k.Host) {
				continue
			}
			err := s.ask(ctx, k, key.service, maxAge, false)
			if err == nil || errors.Is(err, ErrNoSample) {
				return err
			}
			s.markUnreachable(k, err)
		}
	case stageSampleHost:
		if owner := s.Owner(key.service); owner.Address != "" && !s.Backoffer.InBackoff(owner.Host) {
			err := s.ask(ctx, owner, key.service, maxAge, true)
			if err == nil {
				return nil
			}
			if !errors.Is(err, ErrNoSample) {
				s.markUnreachable(owner, err)
			}
		}
	}
	return s.QueryPrimary(ctx, key.service)
}

// ask requests a sample from another host and passes it to StoreSample.
func (s *Sampler) ask(ctx context.Context, k SampleHost, service string, maxAge time.Duration, direct bool) error {
	header, err := proto.Marshal(&messenger.SampleRequest{Service: service, MaxAgeMs: uint32(max(0, maxAge.Milliseconds())), Direct: direct})
	if err != nil {
		return fmt.Errorf("sampler: encode request: %w", err)
	}
	start := s.Now()
	stream, _, err := s.Forwarder.TryOpen(ctx, k.Address, append([]byte{StreamKind}, header...))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	var answer messenger.SampleAnswer
	if err := protodelim.UnmarshalFrom(bufio.NewReader(stream), &answer); err != nil {
		return fmt.Errorf("sampler: read answer of %s: %w", k.Host, err)
	}
	if !answer.GetKnown() {
		return ErrNoSample
	}
	// The answer was sent after start, so the sample is at least this old.
	age := time.Duration(answer.GetAgeMs()) * time.Millisecond
	s.StoreSample(service, start.Add(-age), tracker.Position{Term: answer.GetTerm(), Offset: answer.GetOffset()})
	return nil
}

// StreamKind is the first byte of the headers that Handler handles.
const StreamKind = 'S'

// Handler returns the handler of another host's request, or nil if the header is
// invalid.
func (s *Sampler) Handler(header []byte) func(ctx context.Context, stream net.Conn) {
	var request messenger.SampleRequest
	if err := proto.Unmarshal(header, &request); err != nil {
		return nil
	}
	at := stageSampleHost
	if request.GetDirect() {
		at = stageOwner
	}
	return func(ctx context.Context, stream net.Conn) {
		defer func() { _ = stream.Close() }()
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		answer := &messenger.SampleAnswer{}
		if err := s.refresh(ctx, request.GetService(), time.Duration(request.GetMaxAgeMs())*time.Millisecond, at); err != nil {
			s.Log.Info(logger.EventSampleFailed, zap.String("service", request.GetService()), zap.Error(err))
		} else if sample, ok := s.Latest(request.GetService()); ok {
			age := s.Now().Sub(sample.At) + time.Millisecond
			answer = &messenger.SampleAnswer{Known: true, Term: sample.Position.Term, Offset: sample.Position.Offset, AgeMs: uint32(age.Milliseconds())}
		}
		if _, err := protodelim.MarshalTo(stream, answer); err != nil {
			s.Log.Info(logger.EventSampleFailed, zap.String("service", request.GetService()), zap.String("asked_by", stream.RemoteAddr().String()), zap.Error(err))
		}
	}
}

func (s *Sampler) markUnreachable(k SampleHost, err error) {
	if s.Backoffer.RecordFailure(k.Host) {
		s.Log.Warn(logger.EventSampleFailed, zap.String("sample_host", k.Host), zap.Error(err))
	}
}

// Package sampler keeps recent positions of primaries, which reads from replicas
// need, and asks for them once for many hosts.
//
// A host that lacks a recent sample asks the keeper of the service in its own
// region, the keeper asks the host that owns the connections to the primary, and
// that host asks the primary. Each of them answers with what it has while that is
// recent enough, and asks once for all that wait. A sample's age is counted from
// before the primary was asked, by each host on its own clock.
//
// # Usage
//
//	s := &sampler.Sampler{Forwarder: f, Keepers: keepers, Owner: owner, Ask: ask, ...}
//	err := s.Refresh(ctx, "ledger-1", 500*time.Millisecond)
//	serve := s.Accept(header)   // on keepers and owners
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

	"github.com/shallotstage/shallotstage/internal/avoider"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// fetchTimeout bounds one question: several round trips between regions.
const fetchTimeout = 300 * time.Millisecond

// ErrNoSample means that nobody told a recent position.
var ErrNoSample = errors.New("sampler: no recent position of the primary")

// Keeper is a host that is asked for samples.
type Keeper struct {
	Host    string
	Address string
}

// Sampler asks for samples and answers other hosts. All fields are set before
// use.
type Sampler struct {
	Forwarder *forwarder.Forwarder
	// Keepers returns the hosts of this region that keep samples of a service,
	// the best first. One without an address is this host.
	Keepers func(service string) []Keeper
	// Owner returns the host that owns the connections to a service's primary;
	// without an address it is this host, or nobody.
	Owner func(service string) Keeper
	// Ask asks the primary; the position goes to Sampled.
	Ask func(ctx context.Context, service string) error
	// Latest returns the newest sample.
	Latest func(service string) (tracker.Sample, bool)
	// Sampled takes a position that the primary told at or after a time.
	Sampled func(service string, at time.Time, p tracker.Position)
	// Now is a clock that counts suspensions.
	Now func() time.Time
	Log *logger.Logger
	// Avoider holds the hosts that did not answer.
	Avoider avoider.Avoider

	mu      sync.Mutex
	flights map[flightKey]*flight
}

// flightKey tells questions apart: those that ask the primary directly must not
// wait for those that ask other hosts.
type flightKey struct {
	service string
	stage   stage
}

// stage is a host's part in a question.
type stage string

// The stages of a question.
const (
	stageReader stage = "reader"
	stageKeeper stage = "keeper"
	stageOwner  stage = "owner"
)

// flight is a question under way.
type flight struct {
	done chan struct{}
	err  error
}

// Refresh returns once the newest sample of a service is no older than maxAge.
func (s *Sampler) Refresh(ctx context.Context, service string, maxAge time.Duration) error {
	return s.refresh(ctx, service, maxAge, stageReader)
}

func (s *Sampler) refresh(ctx context.Context, service string, maxAge time.Duration, at stage) error {
	if s.isFresh(service, maxAge) {
		return nil
	}
	f := s.join(ctx, flightKey{service, at}, maxAge)
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

// join joins the question under way, or begins one.
func (s *Sampler) join(ctx context.Context, key flightKey, maxAge time.Duration) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.flights[key]; f != nil {
		return f
	}
	if s.flights == nil {
		s.flights = map[flightKey]*flight{}
	}
	f := &flight{done: make(chan struct{})}
	s.flights[key] = f
	// The question outlives the reader that began it: others wait for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	go func() {
		defer cancel()
		f.err = s.fetch(ctx, key, maxAge)
		s.mu.Lock()
		delete(s.flights, key)
		s.mu.Unlock()
		close(f.done)
	}()
	return f
}

// fetch asks whom the stage asks.
func (s *Sampler) fetch(ctx context.Context, key flightKey, maxAge time.Duration) error {
	switch key.stage {
	case stageReader:
		for _, k := range s.Keepers(key.service) {
			if k.Address == "" {
				return s.refresh(ctx, key.service, maxAge, stageKeeper)
			}
			if s.Avoider.Avoids(k.Host) {
				continue
			}
			err := s.ask(ctx, k, key.service, maxAge, false)
			if err == nil || errors.Is(err, ErrNoSample) {
				return err
			}
			s.markDown(k, err)
		}
	case stageKeeper:
		if owner := s.Owner(key.service); owner.Address != "" && !s.Avoider.Avoids(owner.Host) {
			err := s.ask(ctx, owner, key.service, maxAge, true)
			if err == nil {
				return nil
			}
			if !errors.Is(err, ErrNoSample) {
				s.markDown(owner, err)
			}
		}
	}
	return s.Ask(ctx, key.service)
}

// ask asks another host.
func (s *Sampler) ask(ctx context.Context, k Keeper, service string, maxAge time.Duration, direct bool) error {
	header, err := proto.Marshal(&messenger.SampleRequest{Service: service, MaxAgeMs: uint32(max(0, maxAge.Milliseconds())), Direct: direct})
	if err != nil {
		return fmt.Errorf("sampler: encode question: %w", err)
	}
	begin := s.Now()
	stream, _, err := s.Forwarder.Offer(ctx, k.Address, append([]byte{Kind}, header...))
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
		return fmt.Errorf("sampler: answer of %s: %w", k.Host, err)
	}
	if !answer.GetKnown() {
		return ErrNoSample
	}
	// The answer was given after begin, so the sample is at least that old.
	age := time.Duration(answer.GetAgeMs()) * time.Millisecond
	s.Sampled(service, begin.Add(-age), tracker.Position{Term: answer.GetTerm(), Offset: answer.GetOffset()})
	return nil
}

// Kind is the first byte of a header that Accept takes.
const Kind = 'S'

// Accept serves the question of another host.
func (s *Sampler) Accept(header []byte) func(ctx context.Context, stream net.Conn) {
	var request messenger.SampleRequest
	if err := proto.Unmarshal(header, &request); err != nil {
		return nil
	}
	at := stageKeeper
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

func (s *Sampler) markDown(k Keeper, err error) {
	if s.Avoider.Avoid(k.Host) {
		s.Log.Warn(logger.EventSampleFailed, zap.String("keeper", k.Host), zap.Error(err))
	}
}

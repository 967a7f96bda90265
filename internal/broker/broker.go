// Package broker lets entry hosts share their connections to upstreams.
//
// An upstream accepts a few dozen connections from all hosts together, and each
// belongs to one organisation. So one host, the owner, holds the connections to
// an upstream, and the others send it the statements of a transaction over one
// multiplexed connection per pair of hosts. A host opens a connection of its
// own when the owner is unreachable.
//
// # Usage
//
//	b := &broker.Broker{LocalConnections: set, Forwarder: f, Owners: owners, Log: log}
//	go f.Serve(ctx, listener, b.Handler)
//	lease := b.Lease(upstream, "prairie_1")
package broker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/queuer"
)

const (
	// openTimeout limits the opening of a stream to an owner: several round
	// trips between regions.
	openTimeout = 300 * time.Millisecond
	// answerGrace is added to the time limit of an owner when waiting for its
	// answer. The owner counts from the arrival of the work, and the answer has
	// to travel back: together a round trip between regions and some queueing.
	answerGrace = 100 * time.Millisecond
	// idleTimeout closes a stream without traffic; it is longer than a
	// transaction may pause.
	idleTimeout = 30 * time.Second
	// readBufferSize is the size of the buffer for results that were received
	// but not read yet.
	readBufferSize = 4 << 10
)

// Owner is a host that holds the connections to an upstream.
type Owner struct {
	Host    string
	Address string
}

// Broker lends and borrows connections. All fields must be set before use.
type Broker struct {
	// LocalConnections is the set of this host's own connections.
	LocalConnections *connector.PoolSet
	Forwarder        *forwarder.Forwarder
	// Owners returns the hosts that may own the connections to an upstream that an
	// organisation uses, in order of preference. An owner without an address is this
	// host.
	Owners func(u keeper.Upstream, organisation string) []Owner
	// Check returns why this host must not run the statements of another host at an
	// upstream, for an organisation on a route; nil allows all. It is not asked about
	// queries of a position.
	Check func(upstream, organisation, route string) error
	// ObserveLoad is called with each report of an upstream's load for an
	// organisation; nil disables it.
	ObserveLoad func(upstream, organisation string, load queuer.Load)
	// ObserveSlowOwner is called for each answer of an owner that came too late although
	// other data of it arrived; nil disables it.
	ObserveSlowOwner func()
	// ObserveRoundTrip is called with each measured round trip to another host;
	// nil disables it.
	ObserveRoundTrip func(host string, d time.Duration)
	Log              *logger.Logger
	// Backoffer tracks the owners to skip: by host, or by host and upstream when
	// the owner cannot reach only that upstream.
	Backoffer backoffer.Backoffer
}

// Lease returns a lease of a connection to an upstream, from its owner or of
// this host.
func (b *Broker) Lease(u keeper.Upstream, organisation string) *connector.Lease {
	if o, ok := b.owner(u, organisation); ok {
		return b.borrow(u, organisation, o)
	}
	return b.observeLocal(b.LocalConnections.Lease(u.ID, organisation), organisation)
}

// observeLocal makes a lease of this host's own connections report the load as an
// owner does.
func (b *Broker) observeLocal(l *connector.Lease, organisation string) *connector.Lease {
	run := l.Run
	l.Run = func(ctx context.Context, limits connector.Limits, batch connector.Batch) ([]connector.Answer, error) {
		answers, err := run(ctx, limits, batch)
		if load, ok := b.LocalConnections.Load(l.Upstream, organisation); ok && b.ObserveLoad != nil {
			b.ObserveLoad(l.Upstream, organisation, load)
		}
		return answers, err
	}
	return l
}

// CanBorrow reports whether connections to the upstream can be borrowed from
// another host.
func (b *Broker) CanBorrow(u keeper.Upstream) bool {
	_, ok := b.owner(u, "")
	return ok
}

// owner returns the preferred host to borrow from. It returns false if this
// host should use a connection of its own.
func (b *Broker) owner(u keeper.Upstream, organisation string) (Owner, bool) {
	for _, o := range b.Owners(u, organisation) {
		if b.Backoffer.InBackoff(backoffKey(o, u)) {
			continue
		}
		if o.Address == "" {
			return Owner{}, false
		}
		if !b.Backoffer.InBackoff(o.Host) {
			return o, true
		}
	}
	return Owner{}, false
}

// backoffKey identifies an upstream that is accessed through an owner.
func backoffKey(o Owner, u keeper.Upstream) string { return o.Host + " " + u.ID }

// markUnreachable makes the broker skip an owner that does not answer. One whose other
// answers arrive is only slow: to use other hosts in its place would close its
// organisations' connections for the sake of new ones, when there is least room for them.
func (b *Broker) markUnreachable(o Owner, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && b.Forwarder.HeardSince(o.Address, time.Now().Add(-openTimeout)) {
		if b.ObserveSlowOwner != nil {
			b.ObserveSlowOwner()
		}
		b.Log.Info(logger.EventOwnerSlow, zap.String("owner", o.Host), zap.Error(err))
		return
	}
	added := b.Backoffer.RecordFailure(o.Host)
	b.Forwarder.ReplaceConn(o.Address)
	if added {
		b.Log.Warn(logger.EventOwnerLost, zap.String("owner", o.Host), zap.Error(err))
	}
}

// borrowedLease is a lease of an owner's connection.
type borrowedLease struct {
	broker       *Broker
	upstream     keeper.Upstream
	organisation string
	owner        Owner
	stream       net.Conn
	r            *bufio.Reader
	// isLost is true once a result was not received whole: it may still come, and the
	// stream is closed.
	isLost bool
	// local replaces the owner's connection if the owner was unreachable.
	local *connector.Lease
}

func (b *Broker) borrow(u keeper.Upstream, organisation string, o Owner) *connector.Lease {
	l := &borrowedLease{broker: b, upstream: u, organisation: organisation, owner: o}
	return &connector.Lease{Upstream: u.ID, Run: l.run, Release: l.end}
}

func (l *borrowedLease) end() {
	if l.local != nil {
		l.local.Release()
	}
	if l.stream != nil {
		_ = l.stream.Close()
		l.stream = nil
	}
}

// lose closes the stream and returns the error of a batch whose result is unknown.
func (l *borrowedLease) lose(batch connector.Batch, err error) error {
	l.isLost = true
	_ = l.stream.Close()
	return &connector.RunError{MayHaveRun: batch.HasForward(), Err: &connector.OwnerError{Owner: l.owner.Host, Err: err}}
}

// errLeaseLost is returned for work on a lease after a result that was not received whole.
var errLeaseLost = errors.New("an earlier result of the lease was lost")

// errTooManyAnswers is returned for a result with more answers than its work has requests.
var errTooManyAnswers = errors.New("result has more answers than requests")

func (l *borrowedLease) run(ctx context.Context, limits connector.Limits, batch connector.Batch) ([]connector.Answer, error) {
	if l.local != nil {
		return l.local.Run(ctx, limits, batch)
	}
	if l.isLost {
		return nil, &connector.RunError{Err: &connector.OwnerError{Owner: l.owner.Host, Err: errLeaseLost}}
	}
	work, begin := encodeWork(limits, batch), time.Now()
	if l.stream == nil {
		work.Upstream, work.Organisation, work.Born, work.Route = l.upstream.ID, l.organisation, l.upstream.IncarnationStart, batch.Route
		header, err := proto.Marshal(work)
		if err != nil {
			return nil, &connector.RunError{Err: fmt.Errorf("broker: encode work: %w", err)}
		}
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		stream, sent, err := l.broker.Forwarder.TryOpen(openCtx, l.owner.Address, append([]byte{StreamKind}, header...))
		cancel()
		if err != nil {
			l.broker.markUnreachable(l.owner, err)
			if sent && batch.HasForward() {
				// The owner may still run the statements.
				return nil, &connector.RunError{MayHaveRun: true, Err: &connector.OwnerError{Owner: l.owner.Host, Err: err}}
			}
			l.local = l.broker.LocalConnections.Lease(l.upstream.ID, l.organisation)
			return l.local.Run(ctx, limits, batch)
		}
		l.stream, l.r = stream, bufio.NewReaderSize(stream, readBufferSize)
	} else if _, err := protodelim.MarshalTo(l.stream, work); err != nil {
		return nil, l.lose(batch, err)
	}
	return l.receive(limits, batch, begin)
}

// receive reads the result of work that was sent at begin.
func (l *borrowedLease) receive(limits connector.Limits, batch connector.Batch, begin time.Time) ([]connector.Answer, error) {
	if err := l.stream.SetReadDeadline(limits.Deadline.Add(answerGrace)); err != nil {
		return nil, l.lose(batch, err)
	}
	var result messenger.LentResult
	if err := protodelim.UnmarshalFrom(l.r, &result); err != nil {
		l.broker.markUnreachable(l.owner, err)
		return nil, l.lose(batch, err)
	}
	if len(result.GetAnswers()) > len(batch.Requests) {
		return nil, l.lose(batch, errTooManyAnswers)
	}
	if load := result.GetLoad(); load != nil && l.broker.ObserveLoad != nil {
		l.broker.ObserveLoad(l.upstream.ID, l.organisation, decodeLoad(load))
	}
	if elapsed := result.GetLoad().GetElapsed(); elapsed > 0 && l.broker.ObserveRoundTrip != nil {
		// Another build may send more than the time that the host waited.
		if d := time.Since(begin) - time.Duration(min(elapsed, maxTwoByte))*loadUnit; d > 0 {
			l.broker.ObserveRoundTrip(l.owner.Host, d)
		}
	}
	answers, err := decodeResult(l.upstream.ID, &result)
	var connectErr *connector.ConnectError
	if errors.As(err, &connectErr) && connectErr.Failure == connector.FailureNone && l.broker.Backoffer.RecordFailure(backoffKey(l.owner, l.upstream)) {
		l.broker.Log.Warn(logger.EventOwnerLost, zap.String("owner", l.owner.Host), zap.String("upstream", l.upstream.ID), zap.Error(err))
	}
	return answers, err
}

// StreamKind is the first byte of the headers that Handler handles.
const StreamKind = 'L'

// Handler returns the handler of another host's stream, or nil if the header is
// invalid.
func (b *Broker) Handler(header []byte) func(ctx context.Context, stream net.Conn) {
	var first messenger.LentWork
	if err := proto.Unmarshal(header, &first); err != nil {
		return nil
	}
	return func(ctx context.Context, stream net.Conn) {
		defer func() { _ = stream.Close() }()
		lease := b.LocalConnections.Lease(first.GetUpstream(), first.GetOrganisation())
		defer lease.Release()
		r := bufio.NewReaderSize(stream, readBufferSize)
		for work, checked := &first, false; ; {
			if !checked && !work.GetProbe() {
				if err := b.check(&first); err != nil {
					_, _ = protodelim.MarshalTo(stream, encodeResult(nil, &connector.RunError{Err: err}))
					return
				}
				checked = true
			}
			begin := time.Now()
			result := b.runWork(ctx, lease, work)
			if load, ok := b.LocalConnections.Load(first.GetUpstream(), first.GetOrganisation()); ok {
				result.Load = encodeLoad(load)
				result.Load.Elapsed = encodeElapsed(time.Since(begin))
			}
			if _, err := protodelim.MarshalTo(stream, result); err != nil || work.GetLast() {
				return
			}
			work = &messenger.LentWork{}
			_ = stream.SetReadDeadline(time.Now().Add(idleTimeout))
			if err := protodelim.UnmarshalFrom(r, work); err != nil {
				return
			}
		}
	}
}

// check returns why the statements of a lease must not run here, or nil. A lease keeps
// what was permitted when its first statement came.
func (b *Broker) check(first *messenger.LentWork) error {
	if b.Check == nil {
		return nil
	}
	return b.Check(first.GetUpstream(), first.GetOrganisation(), first.GetRoute())
}

// runWork runs the work that another host sent.
func (b *Broker) runWork(ctx context.Context, lease *connector.Lease, work *messenger.LentWork) *messenger.LentResult {
	limits, batch := decodeWork(work)
	answers, err := lease.Run(ctx, limits, batch)
	if work.GetLast() {
		lease.Release()
	}
	return encodeResult(answers, err)
}

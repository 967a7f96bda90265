// Package lender lets entry hosts use each other's connections to upstreams.
//
// An upstream takes a few dozen connections from all hosts together, and each
// belongs to one organisation. So one host, the owner, holds the connections to
// an upstream, and the others send it the work of a transaction over one
// multiplexed connection for each pair of hosts. A host opens a connection of
// its own when the owner cannot be reached.
//
// # Usage
//
//	l := &lender.Lender{Local: set, Forwarder: f, Owner: owner, Log: log}
//	go f.Serve(ctx, listener, l.Accept)
//	lease := l.Lease(upstream, "prairie_1")
package lender

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

	"github.com/shallotstage/shallotstage/internal/avoider"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

const (
	// openTimeout bounds the opening of a stream to an owner: several round
	// trips between regions.
	openTimeout = 300 * time.Millisecond
	// answerGrace is what a host waits beyond the time it gave an owner: the
	// owner counts from the arrival of the work, and its answer takes as long,
	// together a round trip between regions and some queueing.
	answerGrace = 100 * time.Millisecond
	// idleLimit ends a stream whose holder says nothing: longer than a
	// transaction may pause.
	idleLimit = 30 * time.Second
	// readBuffer holds results that were not read yet.
	readBuffer = 4 << 10
)

// Owner is the host that holds the connections to an upstream.
type Owner struct {
	Host    string
	Address string
}

// Lender lends and borrows connections. All fields are set before use.
type Lender struct {
	// Local holds this host's own connections.
	Local     *connector.Set
	Forwarder *forwarder.Forwarder
	// Owners returns the hosts that may own an upstream, the best first. An
	// owner without an address is this host.
	Owners func(u keeper.Upstream) []Owner
	Log    *logger.Logger
	// Avoider holds the owners that are passed over, by host, or by host and
	// upstream when only that upstream is out of an owner's reach.
	Avoider avoider.Avoider
}

// Lease returns a lease of a connection to an upstream.
func (l *Lender) Lease(u keeper.Upstream, organisation string) *connector.Lease {
	if o, ok := l.owner(u); ok {
		return l.borrow(u, organisation, o)
	}
	return l.Local.Lease(u.ID, organisation)
}

// Reaches reports whether another host that reaches the upstream lends its
// connections.
func (l *Lender) Reaches(u keeper.Upstream) bool {
	_, ok := l.owner(u)
	return ok
}

// owner returns the best other host to borrow from; false means that this host
// uses a connection of its own.
func (l *Lender) owner(u keeper.Upstream) (Owner, bool) {
	for _, o := range l.Owners(u) {
		if l.Avoider.Avoids(key(o, u)) {
			continue
		}
		if o.Address == "" {
			return Owner{}, false
		}
		if !l.Avoider.Avoids(o.Host) {
			return o, true
		}
	}
	return Owner{}, false
}

// key names an upstream as an owner reaches it.
func key(o Owner, u keeper.Upstream) string { return o.Host + " " + u.ID }

// markDown passes an owner over that does not answer.
func (l *Lender) markDown(o Owner, err error) {
	news := l.Avoider.Avoid(o.Host)
	l.Forwarder.Forget(o.Address)
	if news {
		l.Log.Warn(logger.EventOwnerLost, zap.String("owner", o.Host), zap.Error(err))
	}
}

// borrowed is a lease of an owner's connection.
type borrowed struct {
	lender       *Lender
	upstream     keeper.Upstream
	organisation string
	owner        Owner
	stream       net.Conn
	r            *bufio.Reader
	// local replaces the owner's connection when the owner was not reached.
	local *connector.Lease
}

func (l *Lender) borrow(u keeper.Upstream, organisation string, o Owner) *connector.Lease {
	b := &borrowed{lender: l, upstream: u, organisation: organisation, owner: o}
	return &connector.Lease{Upstream: u.ID, Run: b.run, End: b.end}
}

func (b *borrowed) end() {
	if b.local != nil {
		b.local.End()
	}
	if b.stream != nil {
		_ = b.stream.Close()
		b.stream = nil
	}
}

func (b *borrowed) run(ctx context.Context, limits connector.Limits, batch connector.Batch) ([]connector.Answer, error) {
	if b.local != nil {
		return b.local.Run(ctx, limits, batch)
	}
	work := encodeWork(limits, batch)
	if b.stream == nil {
		work.Upstream, work.Organisation, work.Born = b.upstream.ID, b.organisation, b.upstream.Born
		header, err := proto.Marshal(work)
		if err != nil {
			return nil, &connector.RunError{Err: fmt.Errorf("lender: encode work: %w", err)}
		}
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		stream, sent, err := b.lender.Forwarder.Offer(openCtx, b.owner.Address, append([]byte{Kind}, header...))
		cancel()
		if err != nil {
			b.lender.markDown(b.owner, err)
			if sent && batch.Forwards() {
				// The owner may still do the work.
				return nil, &connector.RunError{Sent: true, Err: err}
			}
			b.local = b.lender.Local.Lease(b.upstream.ID, b.organisation)
			return b.local.Run(ctx, limits, batch)
		}
		b.stream, b.r = stream, bufio.NewReaderSize(stream, readBuffer)
	} else if _, err := protodelim.MarshalTo(b.stream, work); err != nil {
		return nil, &connector.RunError{Sent: batch.Forwards(), Err: fmt.Errorf("lender: send work to %s: %w", b.owner.Host, err)}
	}
	return b.receive(limits, batch)
}

func (b *borrowed) receive(limits connector.Limits, batch connector.Batch) ([]connector.Answer, error) {
	if err := b.stream.SetReadDeadline(limits.Deadline.Add(answerGrace)); err != nil {
		return nil, &connector.RunError{Sent: batch.Forwards(), Err: err}
	}
	var result messenger.LentResult
	if err := protodelim.UnmarshalFrom(b.r, &result); err != nil {
		b.lender.markDown(b.owner, err)
		return nil, &connector.RunError{Sent: batch.Forwards(), Err: fmt.Errorf("lender: result of %s: %w", b.owner.Host, err)}
	}
	answers, err := decodeResult(b.upstream.ID, &result)
	var connect *connector.ConnectError
	if errors.As(err, &connect) && connect.Failure == connector.FailureNone && b.lender.Avoider.Avoid(key(b.owner, b.upstream)) {
		b.lender.Log.Warn(logger.EventOwnerLost, zap.String("owner", b.owner.Host), zap.String("upstream", b.upstream.ID), zap.Error(err))
	}
	return answers, err
}

// Kind is the first byte of a header that Accept takes.
const Kind = 'L'

// Accept serves the streams of other hosts.
func (l *Lender) Accept(header []byte) func(ctx context.Context, stream net.Conn) {
	var first messenger.LentWork
	if err := proto.Unmarshal(header, &first); err != nil {
		return nil
	}
	return func(ctx context.Context, stream net.Conn) {
		defer func() { _ = stream.Close() }()
		lease := l.Local.Lease(first.GetUpstream(), first.GetOrganisation())
		defer lease.End()
		r := bufio.NewReaderSize(stream, readBuffer)
		for work := &first; ; {
			result := l.do(ctx, lease, work)
			if _, err := protodelim.MarshalTo(stream, result); err != nil || work.GetLast() {
				return
			}
			work = &messenger.LentWork{}
			_ = stream.SetReadDeadline(time.Now().Add(idleLimit))
			if err := protodelim.UnmarshalFrom(r, work); err != nil {
				return
			}
		}
	}
}

// do does work of another host.
func (l *Lender) do(ctx context.Context, lease *connector.Lease, work *messenger.LentWork) *messenger.LentResult {
	limits, batch := decodeWork(work)
	answers, err := lease.Run(ctx, limits, batch)
	if work.GetLast() {
		lease.End()
	}
	return encodeResult(answers, err)
}

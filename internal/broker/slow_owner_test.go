package broker

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// borrowWithoutResult borrows from an owner that accepts work and never answers it, for
// at most the time that limits allow. While it waits, the owner answers other streams if
// busy is true. It returns the broker and the error.
func borrowWithoutResult(t *testing.T, busy bool) (*Broker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	t.Cleanup(func() { cancel(); <-served })
	owner := &forwarder.Forwarder{}
	accepted := make(chan struct{}, 1)
	go func() {
		defer close(served)
		owner.Serve(ctx, l, func(header []byte) func(context.Context, net.Conn) {
			if string(header) == "other" {
				return func(_ context.Context, conn net.Conn) { _ = conn.Close() }
			}
			return func(ctx context.Context, conn net.Conn) {
				accepted <- struct{}{}
				<-ctx.Done()
				_ = conn.Close()
			}
		})
	}()
	f := &forwarder.Forwarder{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
	t.Cleanup(f.Close)
	address := l.Addr().String()
	b := &Broker{
		LocalConnections: &connector.PoolSet{}, Forwarder: f, Log: logger.New(zap.NewNop()), Backoffer: backoffer.Backoffer{Initial: time.Minute},
		Owners: func(keeper.Upstream, string) []Owner { return []Owner{{Host: "entry-2", Address: address}} },
	}
	lease := b.Lease(keeper.Upstream{ID: "u"}, "prairie_1")
	defer lease.Release()
	result := make(chan error, 1)
	go func() {
		_, err := lease.Run(ctx, connector.Limits{Deadline: time.Now().Add(300 * time.Millisecond)}, connector.Batch{Requests: []connector.Request{{Verb: connector.VerbForward}}})
		result <- err
	}()
	<-accepted
	for {
		select {
		case err := <-result:
			return b, err
		default:
		}
		if !busy {
			return b, <-result
		}
		if stream, err := f.Open(ctx, address, []byte("other")); err == nil {
			_ = stream.Close()
		}
	}
}

// An owner whose link is full answers late. If it were taken for lost, hosts would open
// connections elsewhere and close those that its organisations need.
func TestSlowOwnerIsNotTakenForLost(t *testing.T) {
	b, err := borrowWithoutResult(t, true)
	var ownerErr *connector.OwnerError
	qt.Assert(t, errors.As(err, &ownerErr), qt.IsTrue, qt.Commentf("%v", err))
	var runErr *connector.RunError
	qt.Assert(t, errors.As(err, &runErr) && runErr.MayHaveRun, qt.IsTrue)
	qt.Assert(t, b.CanBorrow(keeper.Upstream{ID: "u"}), qt.IsTrue)
}

// An owner that is gone without closing its connections says nothing at all.
func TestSilentOwnerIsTakenForLost(t *testing.T) {
	b, err := borrowWithoutResult(t, false)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, b.CanBorrow(keeper.Upstream{ID: "u"}), qt.IsFalse)
}

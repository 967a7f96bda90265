package broker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// borrowFrom returns a lease of an owner whose streams serve handles.
func borrowFrom(t *testing.T, serve func(stream net.Conn)) *connector.Lease {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	t.Cleanup(func() { cancel(); <-served })
	go func() {
		defer close(served)
		(&forwarder.Forwarder{}).Serve(ctx, l, func([]byte) func(context.Context, net.Conn) {
			return func(_ context.Context, stream net.Conn) {
				defer func() { _ = stream.Close() }()
				serve(stream)
			}
		})
	}()
	f := &forwarder.Forwarder{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
	t.Cleanup(f.Close)
	b := &Broker{
		LocalConnections: &connector.PoolSet{}, Forwarder: f, Log: logger.New(zap.NewNop()), Backoffer: backoffer.Backoffer{Initial: time.Minute},
		Owners: func(keeper.Upstream, string) []Owner { return []Owner{{Host: "entry-2", Address: l.Addr().String()}} },
	}
	lease := b.Lease(keeper.Upstream{ID: "u"}, "prairie_1")
	t.Cleanup(lease.Release)
	return lease
}

func runForward(lease *connector.Lease, wait time.Duration, id string) ([]connector.Answer, error) {
	limits := connector.Limits{Deadline: time.Now().Add(wait)}
	return lease.Run(context.Background(), limits, connector.Batch{Requests: []connector.Request{{Verb: connector.VerbForward, ID: id}}})
}

func resultWith(bodies ...string) *messenger.LentResult {
	result := &messenger.LentResult{}
	for _, body := range bodies {
		result.Answers = append(result.Answers, &messenger.LentAnswer{Body: []byte(body), Completed: true, State: string(connector.StateIdle)})
	}
	return result
}

// The result of work that was given up was taken for that of the next work on the lease.
func TestLateResultIsNotThatOfTheNextWork(t *testing.T) {
	gaveUp := make(chan struct{})
	lease := borrowFrom(t, func(stream net.Conn) {
		<-gaveUp
		_, _ = protodelim.MarshalTo(stream, resultWith("first"))
		var work messenger.LentWork
		if protodelim.UnmarshalFrom(bufio.NewReader(stream), &work) == nil {
			_, _ = protodelim.MarshalTo(stream, resultWith("second"))
		}
	})
	_, err := runForward(lease, time.Millisecond, "1")
	var runErr *connector.RunError
	qt.Assert(t, errors.As(err, &runErr), qt.IsTrue)
	qt.Assert(t, runErr.MayHaveRun, qt.IsTrue)
	close(gaveUp)
	answers, err := runForward(lease, 5*time.Second, "2")
	qt.Assert(t, errors.As(err, &runErr), qt.IsTrue, qt.Commentf("%s", answers))
	qt.Assert(t, runErr.MayHaveRun, qt.IsFalse)
}

// A result with more answers than requests was used.
func TestResultWithTooManyAnswersIsNotUsed(t *testing.T) {
	lease := borrowFrom(t, func(stream net.Conn) {
		_, _ = protodelim.MarshalTo(stream, resultWith("first", "other"))
	})
	answers, err := runForward(lease, 5*time.Second, "1")
	var runErr *connector.RunError
	qt.Assert(t, errors.As(err, &runErr), qt.IsTrue, qt.Commentf("%s", answers))
	qt.Assert(t, runErr.MayHaveRun, qt.IsTrue)
}

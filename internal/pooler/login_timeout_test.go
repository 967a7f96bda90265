package pooler

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

func TestLoginTimeoutGrowsOnlyWithLoginsThatRunOutOfTime(t *testing.T) {
	const base = 100 * time.Millisecond
	var timeout LoginTimeout
	slow := &HandshakeError{Upstream: "u", Err: context.DeadlineExceeded}
	steps := []struct {
		name string
		err  error
		want time.Duration
	}{
		{"first", errors.New("connection refused"), base},
		{"not accepted in time", context.DeadlineExceeded, base},
		{"login refused", &HandshakeError{Err: errors.New("password")}, base},
		{"slow login", slow, 2 * base}, {"slow login", slow, 4 * base}, {"not accepted", errors.New("reset"), 4 * base},
		{"slow login", slow, 8 * base}, {"slow login", slow, 16 * base}, {"slow login", slow, 16 * base}, {"success", nil, base},
	}
	qt.Assert(t, timeout.Next(base), qt.Equals, base)
	for _, step := range steps {
		timeout.Record(step.err)
		qt.Assert(t, timeout.Next(base), qt.Equals, step.want, qt.Commentf("%s", step.name))
	}
}

// An upstream that accepts connections and is slow to log in is told apart from one
// that does not accept them.
func TestConnectorTellsSlowLoginsApart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	open := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := Connector{User: "a", Password: "b"}.OpenMonitor(ctx, configurer.Upstream{ID: "u", Group: "g", Address: address})
		return err
	}
	var handshakeErr *HandshakeError
	err = open(l.Addr().String())
	qt.Assert(t, errors.As(err, &handshakeErr), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	address := l.Addr().String()
	_ = l.Close()
	err = open(address)
	qt.Assert(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, errors.As(err, &handshakeErr), qt.IsFalse, qt.Commentf("%v", err))
}

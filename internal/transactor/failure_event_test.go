package transactor

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// Refusals of a queue and passed deadlines were logged as lost connections, and
// operators looked for faults of upstreams that had none.
func TestFailureEvent(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want logger.Event
	}{
		{"queue", &connector.QueueError{Upstream: "u"}, logger.EventUpstreamQueueRefused},
		{"connect", &connector.ConnectError{Upstream: "u", Err: errors.New("refused")}, logger.EventUpstreamConnectFailed},
		{"connect within the time", &connector.ConnectError{Upstream: "u", Err: os.ErrDeadlineExceeded}, logger.EventUpstreamConnectFailed},
		{"setup", &connector.SetupError{Upstream: "u", Operation: "set"}, logger.EventUpstreamConnectFailed},
		{"deadline", fmt.Errorf("read: %w", os.ErrDeadlineExceeded), logger.EventUpstreamAnswerLate},
		{"end", fmt.Errorf("read: %w", io.EOF), logger.EventUpstreamConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, failureEvent(&connector.RunError{Err: test.err}), qt.Equals, test.want)
		})
	}
}

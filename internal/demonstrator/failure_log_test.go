package demonstrator

import (
	"bytes"
	"sync"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/shallotstage/shallotstage/internal/logger"
)

// maxFailureLogBytes bounds the log that is kept for a failed test.
const maxFailureLogBytes = 256 << 10

// failureLog keeps the newest log lines of a test's fleet. It is safe for concurrent use.
type failureLog struct {
	mu   sync.Mutex
	body []byte
}

// Write implements io.Writer.
func (l *failureLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.body = append(l.body, p...)
	if excess := len(l.body) - maxFailureLogBytes; excess > 0 {
		l.body = l.body[excess:]
	}
	return len(p), nil
}

// newFailureLog returns a logger whose lines are shown if the test fails.
func newFailureLog(c *qt.C) *logger.Logger {
	l := &failureLog{}
	c.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if c.Failed() {
			c.Logf("log of the fleet:\n%s", bytes.TrimSpace(l.body))
		}
	})
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return logger.New(zap.New(zapcore.NewCore(encoder, zapcore.AddSync(l), zapcore.InfoLevel)))
}

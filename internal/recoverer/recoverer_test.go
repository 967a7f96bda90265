package recoverer

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/logger"
)

func TestPanicIsLoggedAndCleanedUp(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	log, flush, err := logger.OpenRateLimited(ctx, &logger.RateLimitedWriter{}, &out, "info")
	qt.Assert(t, err, qt.IsNil)
	cleaned := false
	func() {
		defer Recover(log, "session", func() { cleaned = true })
		panic("index out of range")
	}()
	func() {
		defer Recover(log, "session", func() { t.Error("cleaned up without a panic") })
	}()
	cancel()
	flush()
	qt.Assert(t, cleaned, qt.IsTrue)
	qt.Assert(t, strings.Count(out.String(), `"panic_recovered"`), qt.Equals, 1)
	qt.Assert(t, out.String(), qt.Contains, "index out of range")
}

package logger

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines that are queued for a slow output.
	queueCapacity = 2048
	// reportInterval is the interval at which dropped lines are reported. It equals
	// the one-second window of the line budgets.
	reportInterval = time.Second
)

// RateLimitedWriter writes log lines asynchronously to an output that may
// block. A line is dropped and counted when the queue is full or the event has
// used up its budget for the current second. Writers never block.
type RateLimitedWriter struct {
	// MaxLinesPerSecond limits the lines of each event per second; zero means
	// no limit. Warnings and errors may use four times as much.
	MaxLinesPerSecond int

	queue          chan []byte
	droppedLines   atomic.Int64
	mu             sync.Mutex
	currentSecond  int64
	writtenByEvent map[int]int
	overBudget     map[string]int
}

// warningBudgetFactor multiplies MaxLinesPerSecond for warnings and errors.
const warningBudgetFactor = 4

// OpenRateLimited returns a Logger that writes JSON lines through b to w until
// ctx is done, and a function that then waits until all queued lines are
// written.
func OpenRateLimited(ctx context.Context, b *RateLimitedWriter, w io.Writer, level string) (*Logger, func(), error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	b.queue = make(chan []byte, queueCapacity)
	b.writtenByEvent, b.overBudget = map[int]int{}, map[string]int{}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), b, minLevel)
	log := &Logger{zap: zap.New(core), limiter: b}
	done := make(chan struct{})
	go b.run(ctx, w, log, done)
	return log, func() { <-done }, nil
}

// Write queues a line or drops it when the queue is full. It implements
// zapcore.WriteSyncer.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.droppedLines.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *RateLimitedWriter) Sync() error { return nil }

// allow reports whether an event may write another line in the current second,
// and charges the line to its budget.
func (b *RateLimitedWriter) allow(level zapcore.Level, e Event, now time.Time) bool {
	if b.MaxLinesPerSecond <= 0 {
		return true
	}
	budget := b.MaxLinesPerSecond
	if level >= zapcore.WarnLevel {
		budget *= warningBudgetFactor
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if currentSecond := now.Unix(); currentSecond != b.currentSecond {
		b.currentSecond = currentSecond
		clear(b.writtenByEvent)
	}
	if b.writtenByEvent[e.Number] >= budget {
		b.overBudget[e.Name]++
		return false
	}
	b.writtenByEvent[e.Number]++
	return true
}

// run writes queued lines and reports dropped ones until ctx is done.
func (b *RateLimitedWriter) run(ctx context.Context, w io.Writer, log *Logger, done chan struct{}) {
	defer close(done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.queue:
			_, _ = w.Write(line)
		case <-ticker.C:
			b.reportDropped(log)
		case <-ctx.Done():
			b.flush(w)
			return
		}
	}
}

func (b *RateLimitedWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-b.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

func (b *RateLimitedWriter) reportDropped(log *Logger) {
	slowOutput := b.droppedLines.Swap(0)
	b.mu.Lock()
	overBudget := b.overBudget
	b.overBudget = map[string]int{}
	b.mu.Unlock()
	if slowOutput == 0 && len(overBudget) == 0 {
		return
	}
	log.Warn(EventLogLinesDropped, zap.Int64("slow_output", slowOutput), zap.Any("over_budget", overBudget))
}

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
	// queuedLines bounds the lines that wait for a slow output.
	queuedLines = 2048
	// reportInterval is the time between reports of dropped lines, and the span
	// of the budgets.
	reportInterval = time.Second
)

// Bounded writes lines to an output that may block. A line that finds the queue
// full, or its event's budget of the second spent, is dropped and counted. The
// caller never waits.
type Bounded struct {
	// PerSecond bounds the lines of one event a second; zero means no bound.
	// Warnings and errors have four times as much.
	PerSecond int

	lines   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	second  int64
	written map[int]int
	refused map[string]int
}

// warningFactor is how much more warnings and errors may be written than
// lines of normal operation.
const warningFactor = 4

// OpenBounded returns a Logger that writes JSON lines through b to an output
// until ctx ends, and a function that returns once all lines are written.
func OpenBounded(ctx context.Context, b *Bounded, w io.Writer, level string) (*Logger, func(), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	b.lines = make(chan []byte, queuedLines)
	b.written, b.refused = map[int]int{}, map[string]int{}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), b, l)
	out := &Logger{zap: zap.New(core), bound: b}
	done := make(chan struct{})
	go b.run(ctx, w, out, done)
	return out, func() { <-done }, nil
}

// Write queues a line. It implements zapcore.WriteSyncer.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *Bounded) Sync() error { return nil }

// allow spends one line of an event's budget.
func (b *Bounded) allow(level zapcore.Level, e Event, now time.Time) bool {
	if b.PerSecond <= 0 {
		return true
	}
	budget := b.PerSecond
	if level >= zapcore.WarnLevel {
		budget *= warningFactor
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		clear(b.written)
	}
	if b.written[e.Number] >= budget {
		b.refused[e.Name]++
		return false
	}
	b.written[e.Number]++
	return true
}

// run writes queued lines and reports dropped ones.
func (b *Bounded) run(ctx context.Context, w io.Writer, l *Logger, done chan struct{}) {
	defer close(done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case <-ticker.C:
			b.report(l)
		case <-ctx.Done():
			b.flush(w)
			return
		}
	}
}

func (b *Bounded) flush(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

func (b *Bounded) report(l *Logger) {
	slow := b.dropped.Swap(0)
	b.mu.Lock()
	refused := b.refused
	b.refused = map[string]int{}
	b.mu.Unlock()
	if slow == 0 && len(refused) == 0 {
		return
	}
	l.Warn(EventLinesDropped, zap.Int64("slow_output", slow), zap.Any("over_budget", refused))
}

// Package logger writes structured logs in which every line carries the number
// and name of an event.
//
// # Usage
//
//	l := logger.New(zapLogger)
//	l.Info(logger.EventStarted, zap.String("host", "regina-a-1"))
//
// A nil Logger discards all lines.
package logger

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger writes events as log lines.
type Logger struct {
	zap *zap.Logger
	// limiter limits the lines of each event; nil means no limit.
	limiter *RateLimitedWriter
}

// New returns a Logger that writes to z.
func New(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Open returns a Logger that writes JSON lines at or above the given level to
// standard error. The level is debug, info, warn or error.
func Open(level string) (*Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	z, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("logger: build: %w", err)
	}
	return New(z), nil
}

// With returns a Logger that adds fields to every line.
func (l *Logger) With(fields ...zap.Field) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{zap: l.zap.With(fields...), limiter: l.limiter}
}

// Debug writes an event that is useful only in aggregate.
func (l *Logger) Debug(e Event, fields ...zap.Field) { l.write(zapcore.DebugLevel, e, fields) }

// Info writes an event of normal operation.
func (l *Logger) Info(e Event, fields ...zap.Field) { l.write(zapcore.InfoLevel, e, fields) }

// Warn writes an event that an operator should know about.
func (l *Logger) Warn(e Event, fields ...zap.Field) { l.write(zapcore.WarnLevel, e, fields) }

// Error writes an event that requires an operator's action.
func (l *Logger) Error(e Event, fields ...zap.Field) { l.write(zapcore.ErrorLevel, e, fields) }

func (l *Logger) write(level zapcore.Level, e Event, fields []zap.Field) {
	if l == nil {
		return
	}
	ce := l.zap.Check(level, e.Name)
	if ce != nil && (l.limiter == nil || l.limiter.allow(level, e, time.Now())) {
		ce.Write(append([]zap.Field{zap.Int("event", e.Number)}, fields...)...)
	}
}

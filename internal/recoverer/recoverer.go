// Package recoverer keeps an unexpected panic in the work for one caller or one other
// host from ending the whole process.
//
// # Usage
//
//	defer recoverer.Recover(log, "session", func() { conn.Close() })
//
// It belongs only where nothing outside that work can be left half changed. A panic in
// the goroutine that owns control state must end the process, which then starts again
// from what is stored.
package recoverer

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
)

// Recover must be deferred directly. On a panic it logs an event with the stack and
// calls cleanUp, which may be nil.
func Recover(log *logger.Logger, part string, cleanUp func()) {
	p := recover()
	if p == nil {
		return
	}
	log.Error(logger.EventPanicRecovered, zap.String("part", part), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
	if cleanUp != nil {
		cleanUp()
	}
}

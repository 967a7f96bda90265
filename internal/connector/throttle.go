package connector

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// maxThrottleWait is the longest pause between two attempts of an open transaction to
// send its next statement to a cold upstream.
const maxThrottleWait = 20 * time.Millisecond

// Throttle bounds the statements that this host sends to cold upstreams. Check and Take
// return a WarmupError if n statements must not be sent together now, and another error if
// none can be sent.
type Throttle struct {
	// Check reports whether n statements of new work could be sent.
	Check func(upstream string, n int) error
	// Take is called right before n statements are sent; open is true for the next
	// statement of an open transaction.
	Take func(upstream string, n int, open bool) error
	// Refused is called for each batch that was not sent to a cold upstream.
	Refused func()
	// ConnectRefused is called when an upstream's machine refuses a connection: the
	// upstream has stopped. Nil disables it.
	ConnectRefused func(upstream string)
}

// WarmupError is returned when a statement was not sent because its upstream is cold.
type WarmupError struct {
	Upstream string
	// RetryAfter is the time until another attempt may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *WarmupError) Error() string {
	return fmt.Sprintf("connector: upstream %s is cold, retry after %s", e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// statementCount returns the number of statements in the batch that count towards the
// rate of a cold upstream. Queries of a position take no slot; a rollback and the setup of
// a connection end or precede what counts.
func (b Batch) statementCount() int {
	n := 0
	for _, q := range b.Requests {
		if !b.PositionOnly && (q.Verb == VerbForward || q.Verb == VerbBegin) {
			n++
		}
	}
	return n
}

// check refuses new work that could not be sent, before it waits for a slot or opens a
// connection.
func (t *Throttle) check(upstream string, b Batch) error {
	if t == nil {
		return nil
	}
	err := t.Check(upstream, b.statementCount())
	var warmupErr *WarmupError
	if errors.As(err, &warmupErr) {
		t.Refused()
	}
	return err
}

// observeConnect passes on the error of an attempt to acquire a connection.
func (t *Throttle) observeConnect(upstream string, err error) {
	if t != nil && t.ConnectRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
		t.ConnectRefused(upstream)
	}
}

// take returns nil once the batch may be sent. Only the batch of an open transaction
// waits, until its time is over.
func (t *Throttle) take(ctx context.Context, upstream string, b Batch, limits Limits, open bool) error {
	if t == nil {
		return nil
	}
	end := limits.Deadline.Add(-limits.TimeReserve)
	for {
		err := t.Take(upstream, b.statementCount(), open)
		if err == nil {
			return nil
		}
		var warmupErr *WarmupError
		if !errors.As(err, &warmupErr) {
			return err
		}
		wait := min(maxThrottleWait, warmupErr.RetryAfter)
		if !open || time.Now().Add(wait).After(end) {
			t.Refused()
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			t.Refused()
			return err
		}
	}
}

// releaseSlot frees a slot that was acquired for a batch that is not sent.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Stop()
	p.dispatch()
}

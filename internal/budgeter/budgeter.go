// Package budgeter bounds the memory that a process holds for others: messages being
// received, statements being executed, values of sessions and answers not yet sent.
//
// Each connection or call has a Holder, which reports what it holds above a few kilobytes.
// When the sum reaches the budget, the largest holder is closed, and not the one that
// happened to ask. Holders that execute a statement are not closed: the statement may
// have run, and its answer must be delivered.
//
// # Usage
//
//	b := &budgeter.Budget{Bytes: budgeter.BytesFor(memory)}
//	h := &budgeter.Holder{Budget: b, Kind: budgeter.KindCaller, Close: func() { _ = conn.Close() }}
//	if !h.SetHeld(n) { return errClosed }
//	defer h.End()
package budgeter

import (
	"errors"
	"sync"
	"time"
)

// Kind says for whom a holder holds memory.
type Kind string

// The values of Kind.
const (
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindLink     Kind = "link"
	KindOperator Kind = "operator"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{KindCaller, KindUpstream, KindLink, KindOperator} }

const (
	// budgetFraction is the part of a process's memory that holders may have together.
	// The rest is for the process's own state, connections below the threshold of the
	// holders, and garbage.
	budgetFraction = 0.3
	// answerReserve is the part of the budget that only answers may use: the work
	// behind them has run.
	answerReserve = 0.25
	// maxWait bounds how long a holder waits for closed ones to release their memory.
	maxWait = 2 * time.Second
	// unknownWeight multiplies what a holder without a known key, or one that is stalled,
	// holds when the largest is looked for.
	unknownWeight = 8
)

// ErrUsedUp means that a holder was closed, as the budget is used up and it was the largest.
var ErrUsedUp = errors.New("budgeter: the process's memory budget is used up")

// BytesFor returns the budget of a process that may use memory bytes; zero means no limit.
func BytesFor(memory int64) int64 { return int64(budgetFraction * float64(memory)) }

// Budget is the bound of a process. The zero value has no limit. A nil Budget is valid.
type Budget struct {
	// Bytes is the limit; zero means none. It must not change while the budget is used.
	Bytes int64
	// OnClose is called after a holder was closed; nil disables it.
	OnClose func(k Kind, bytes int64)

	mu      sync.Mutex
	held    int64
	closing int64
	byKind  map[Kind]int64
	closed  map[Kind]uint64
	holders map[*Holder]struct{}
	// released is closed when a holder releases memory while others wait; nil if none
	// does.
	released chan struct{}
}

// Usage is what the holders of a kind have, and how many were closed so far.
type Usage struct {
	Bytes  int64
	Closed uint64
}

// Usage returns the usage of a kind.
func (b *Budget) Usage(k Kind) Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.byKind[k], Closed: b.closed[k]}
}

// Holder holds memory on behalf of one connection, stream or call. One goroutine at a time may
// use it. Its exported fields must be set before.
type Holder struct {
	// Budget is the process's; nil means that there is no limit.
	Budget *Budget
	Kind   Kind
	// Close ends the connection or call, so that its goroutine calls Release soon. It
	// must not block, and is called at most once.
	Close func()
	// HoldsAnswers is true if the holder may use the part that is kept for answers.
	HoldsAnswers bool

	// The budget's lock guards the fields below.
	bytes   int64
	unknown bool
	stalled bool
	busy    bool
	closed  bool
}

// limit returns how much all holders may have when h asks for more.
func (b *Budget) limit(h *Holder) int64 {
	if h.HoldsAnswers {
		return b.Bytes
	}
	return int64((1 - answerReserve) * float64(b.Bytes))
}

// SetHeld records that the holder holds bytes. If that is more than before and the budget is
// used up, it closes the largest holder and waits until there is room. It returns false if
// this holder was closed.
func (h *Holder) SetHeld(bytes int64) bool {
	b := h.Budget
	if b == nil || b.Bytes <= 0 {
		return true
	}
	b.mu.Lock()
	if bytes <= h.bytes {
		defer b.mu.Unlock()
		b.set(h, bytes)
		return !h.closed
	}
	var timer *time.Timer
	for {
		if h.closed {
			b.mu.Unlock()
			return false
		}
		need := bytes - h.bytes
		if b.held+need <= b.limit(h) {
			b.set(h, bytes)
			b.mu.Unlock()
			return true
		}
		if b.held-b.closing+need > b.limit(h) {
			if v := b.largest(h, bytes); v != nil {
				b.close(v)
				continue
			}
		}
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released := b.released
		b.mu.Unlock()
		if timer == nil {
			timer = time.NewTimer(maxWait)
			defer timer.Stop()
		}
		select {
		case <-released:
			b.mu.Lock()
		case <-timer.C:
			b.mu.Lock()
			if !h.closed {
				b.close(h)
			}
		}
	}
}

// SetUnknown marks the holder as one without a known key: it is closed before others.
func (h *Holder) SetUnknown(unknown bool) {
	if h.Budget == nil {
		return
	}
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	h.unknown = unknown
}

// SetStalled marks the holder as one that makes no progress: it is closed before others. It
// may be called by any goroutine.
func (h *Holder) SetStalled(stalled bool) {
	if h.Budget == nil {
		return
	}
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	h.stalled = stalled
}

// SetBusy marks the holder as one that must not be closed, because what it holds is being
// executed.
func (h *Holder) SetBusy(busy bool) {
	if h.Budget == nil {
		return
	}
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	h.busy = busy
}

// Release records that the holder holds nothing.
func (h *Holder) Release() { h.SetHeld(0) }

// End releases what the holder has, for good: it gets nothing more.
func (h *Holder) End() {
	b := h.Budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(h, 0)
	h.closed = true
}

// set changes what a holder holds. The caller must hold the lock.
func (b *Budget) set(h *Holder, bytes int64) {
	change := bytes - h.bytes
	if change == 0 {
		return
	}
	if b.holders == nil {
		b.holders, b.byKind, b.closed = map[*Holder]struct{}{}, map[Kind]int64{}, map[Kind]uint64{}
	}
	h.bytes = bytes
	b.held += change
	b.byKind[h.Kind] += change
	if h.closed {
		b.closing += change
	}
	if bytes == 0 {
		delete(b.holders, h)
	} else {
		b.holders[h] = struct{}{}
	}
	if change < 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// largest returns the holder to close when h wants to hold bytes, or nil if all others are
// closed or busy. The caller must hold the lock.
func (b *Budget) largest(h *Holder, bytes int64) *Holder {
	var largest *Holder
	most := int64(0)
	if !h.busy {
		largest, most = h, weight(h, bytes)
	}
	for other := range b.holders {
		if other.closed || other.busy || other == h {
			continue
		}
		if w := weight(other, other.bytes); w > most {
			largest, most = other, w
		}
	}
	return largest
}

func weight(h *Holder, bytes int64) int64 {
	if h.unknown || h.stalled {
		return unknownWeight * bytes
	}
	return bytes
}

// close closes a holder. The caller must hold the lock, which is released meanwhile.
func (b *Budget) close(h *Holder) {
	h.closed = true
	b.closing += h.bytes
	if b.closed == nil {
		b.closed = map[Kind]uint64{}
	}
	b.closed[h.Kind]++
	bytes := h.bytes
	b.mu.Unlock()
	h.Close()
	if b.OnClose != nil {
		b.OnClose(h.Kind, bytes)
	}
	b.mu.Lock()
}

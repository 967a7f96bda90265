package limiter

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/pkg/allocator"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// Limiter limits the request rate of all organisations on one host. It is safe
// for concurrent use.
type Limiter struct {
	// Now returns the current time, with a monotonic clock reading.
	Now func() time.Time
	// MaxWait is the maximum time that a request waits for tokens.
	MaxWait time.Duration
	// MaxWaiters is the maximum number of requests of one organisation that wait.
	// Urgent requests may exceed it.
	MaxWaiters int
	// LimitsOf returns the rate and burst of an organisation over all hosts; nil
	// means that they are unknown.
	LimitsOf func(organisation string) (rate, burst float64)
	// OnLowTokens is called without locks held when tokens are low or a request
	// has to wait for them.
	OnLowTokens func()

	mu      sync.Mutex
	buckets map[string]*queuedBucket
}

// queuedBucket is a Bucket with its queue of waiting requests.
type queuedBucket struct {
	Bucket
	queue []*waiter
}

type waiter struct {
	n       float64
	urgent  bool
	granted chan struct{}
}

func (l *Limiter) bucketFor(organisation string) *queuedBucket {
	if l.buckets == nil {
		l.buckets = map[string]*queuedBucket{}
	}
	b := l.buckets[organisation]
	if b == nil {
		b = &queuedBucket{}
		l.buckets[organisation] = b
	}
	return b
}

// Acquire spends n tokens and returns nil. If they are not available it waits
// up to Limiter.MaxWait, and then returns a refusal with the time after which
// to retry. An urgent request goes ahead of others, because it belongs to a
// transaction that has already spent tokens.
func (l *Limiter) Acquire(ctx context.Context, organisation string, n int, urgent bool) *refuser.Refusal {
	l.mu.Lock()
	b := l.bucketFor(organisation)
	if l.LimitsOf != nil {
		b.Horizon = HorizonOf(l.LimitsOf(organisation))
	}
	b.RecordDemand(float64(n), l.Now())
	if (urgent || len(b.queue) == 0) && b.Take(float64(n)) {
		low := b.IsLow()
		l.mu.Unlock()
		if low {
			l.notifyLow()
		}
		return nil
	}
	if len(b.queue) >= l.MaxWaiters && !urgent {
		l.mu.Unlock()
		return l.refuse(organisation)
	}
	w := &waiter{n: float64(n), urgent: urgent, granted: make(chan struct{})}
	b.enqueue(w)
	l.mu.Unlock()
	l.notifyLow()
	return l.waitForTokens(ctx, organisation, b, w)
}

func (l *Limiter) notifyLow() {
	if l.OnLowTokens != nil {
		l.OnLowTokens()
	}
}

// enqueue adds a waiter to the queue, urgent ones ahead of the others.
func (b *queuedBucket) enqueue(w *waiter) {
	i := len(b.queue)
	if w.urgent {
		i = 0
		for i < len(b.queue) && b.queue[i].urgent {
			i++
		}
	}
	b.queue = slices.Insert(b.queue, i, w)
	b.queuedTokens += w.n
}

func (l *Limiter) waitForTokens(ctx context.Context, organisation string, b *queuedBucket, w *waiter) *refuser.Refusal {
	timer := time.NewTimer(l.MaxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	b.remove(w)
	return l.refuse(organisation)
}

func (l *Limiter) refuse(organisation string) *refuser.Refusal {
	r := refuser.New(refuser.ReasonRateExceeded, "organisation "+organisation)
	r.RetryAfter = l.MaxWait
	return r
}

func (b *queuedBucket) remove(w *waiter) {
	for i, other := range b.queue {
		if other == w {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.queuedTokens -= w.n
			return
		}
	}
}

// Grant sets the total granted to this host for an organisation and completes
// queued requests in order.
func (l *Limiter) Grant(organisation string, total float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketFor(organisation)
	b.Grant(total)
	for len(b.queue) > 0 && b.Take(b.queue[0].n) {
		w := b.queue[0]
		b.queue = b.queue[1:]
		b.queuedTokens -= w.n
		close(w.granted)
	}
}

// Reports marks surplus tokens as returned and returns a usage report for each
// organisation, sorted by organisation.
func (l *Limiter) Reports() []allocator.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	reports := make([]allocator.Report, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.ReturnSurplus(now)
		reports = append(reports, allocator.Report{
			Organisation: name, SpentTotal: b.Spent, ReturnedTotal: b.Returned,
			ReceivedTotal: b.Received, Wanted: b.Wanted(now),
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Organisation < reports[j].Organisation })
	return reports
}

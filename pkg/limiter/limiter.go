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

// Limiter spends the tokens of all organisations on one host. It is safe for
// concurrent use.
type Limiter struct {
	// Now is the monotonic clock.
	Now func() time.Time
	// Wait bounds the time that a request waits for tokens.
	Wait time.Duration
	// Waiters bounds the requests of one organisation that wait.
	Waiters int
	// Limits returns an organisation's rate and burst over all hosts; nil means
	// unknown.
	Limits func(organisation string) (rate, burst float64)
	// Starved is called, without locks held, when tokens run low.
	Starved func()

	mu      sync.Mutex
	buckets map[string]*account
}

// account is a bucket with its queue.
type account struct {
	Bucket
	queue []*waiter
}

type waiter struct {
	n       float64
	urgent  bool
	granted chan struct{}
}

func (l *Limiter) account(organisation string) *account {
	if l.buckets == nil {
		l.buckets = map[string]*account{}
	}
	a := l.buckets[organisation]
	if a == nil {
		a = &account{}
		l.buckets[organisation] = a
	}
	return a
}

// Limit spends n tokens. It waits for them within the bound, and refuses with
// the time after which a retry may succeed. An urgent request goes ahead of
// others: it belongs to a transaction that has already spent tokens.
func (l *Limiter) Limit(ctx context.Context, organisation string, n int, urgent bool) *refuser.Refusal {
	l.mu.Lock()
	a := l.account(organisation)
	if l.Limits != nil {
		a.Horizon = HorizonOf(l.Limits(organisation))
	}
	a.Ask(float64(n), l.Now())
	if (urgent || len(a.queue) == 0) && a.Take(float64(n)) {
		low := a.IsLow()
		l.mu.Unlock()
		if low {
			l.starved()
		}
		return nil
	}
	if len(a.queue) >= l.Waiters && !urgent {
		l.mu.Unlock()
		return l.refuse(organisation)
	}
	w := &waiter{n: float64(n), urgent: urgent, granted: make(chan struct{})}
	a.push(w)
	l.mu.Unlock()
	l.starved()
	return l.await(ctx, organisation, a, w)
}

func (l *Limiter) starved() {
	if l.Starved != nil {
		l.Starved()
	}
}

// push queues a waiter, urgent ones before the others.
func (a *account) push(w *waiter) {
	i := len(a.queue)
	if w.urgent {
		i = 0
		for i < len(a.queue) && a.queue[i].urgent {
			i++
		}
	}
	a.queue = slices.Insert(a.queue, i, w)
	a.waiting += w.n
}

func (l *Limiter) await(ctx context.Context, organisation string, a *account, w *waiter) *refuser.Refusal {
	timer := time.NewTimer(l.Wait)
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
	a.remove(w)
	return l.refuse(organisation)
}

func (l *Limiter) refuse(organisation string) *refuser.Refusal {
	r := refuser.New(refuser.ReasonRateExceeded, "organisation "+organisation)
	r.RetryAfter = l.Wait
	return r
}

func (a *account) remove(w *waiter) {
	for i, other := range a.queue {
		if other == w {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.waiting -= w.n
			return
		}
	}
}

// Grant takes the total granted to this host and wakes waiting requests in
// their order.
func (l *Limiter) Grant(organisation string, total float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation)
	a.Grant(total)
	for len(a.queue) > 0 && a.Take(a.queue[0].n) {
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.waiting -= w.n
		close(w.granted)
	}
}

// Reports returns what the allocator must know, in order of organisation.
func (l *Limiter) Reports() []allocator.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	reports := make([]allocator.Report, 0, len(l.buckets))
	for name, a := range l.buckets {
		a.Settle(now)
		reports = append(reports, allocator.Report{
			Organisation: name, SpentTotal: a.Spent, ReturnedTotal: a.Returned,
			ReceivedTotal: a.Received, Wanted: a.Wanted(now),
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Organisation < reports[j].Organisation })
	return reports
}

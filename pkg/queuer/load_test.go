package queuer

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load of one service on a heavy day while its replicas are far behind: all
// of it falls on the primary, which has less than it needs.
const (
	loadSlots    = 5
	loadPerS     = 190.0
	loadService  = 33 * time.Millisecond
	loadTimeout  = time.Second
	loadTries    = 3
	loadBackoff  = 200 * time.Millisecond
	loadDuration = 30 * time.Second
	// loadAim is the callers' latency objective for an operation.
	loadAim = 2 * time.Second
)

type loadEvent struct {
	at  time.Duration
	run func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int           { return len(h) }
func (h loadEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h loadEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)        { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// loadRun plays callers that ask, give up after the statement's time and ask
// again, against an upstream with a few slots.
type loadRun struct {
	rnd     *rand.Rand
	now     time.Duration
	events  loadEvents
	q       Queue
	starts  map[*Waiter]func()
	maxWait time.Duration
	asked   int
	inAim   int
	vain    int
}

func (l *loadRun) after(d time.Duration, f func()) {
	heap.Push(&l.events, loadEvent{l.now + d, f})
}

func (l *loadRun) time() time.Time { return time.Unix(0, 0).Add(l.now) }

func (l *loadRun) ask(began time.Duration, tries int) {
	w := &Waiter{Since: l.time()}
	if l.maxWait > 0 && l.q.Expect(w) > l.maxWait {
		l.retry(began, tries)
		return
	}
	served := false
	l.q.Push(w)
	asked := l.now
	gaveUp := false
	l.after(loadTimeout, func() {
		if served {
			return
		}
		gaveUp = true
		l.q.Remove(w)
		l.retry(began, tries)
	})
	l.after(0, func() { l.dispatch() })
	l.starts[w] = func() {
		took := time.Duration(float64(loadService) * (0.4 + 1.2*l.rnd.Float64()))
		l.q.Start()
		l.after(took, func() {
			l.q.Stop()
			l.q.Served(took)
			if gaveUp || l.now-asked > loadTimeout {
				l.vain++
			} else {
				served = true
				if l.now-began <= loadAim {
					l.inAim++
				}
			}
			l.dispatch()
		})
	}
}

func (l *loadRun) dispatch() {
	for {
		w := l.q.Next(l.time(), idle)
		if w == nil {
			return
		}
		run := l.starts[w]
		delete(l.starts, w)
		run()
	}
}

func (l *loadRun) retry(began time.Duration, tries int) {
	if tries > 1 {
		l.after(loadBackoff, func() { l.ask(began, tries-1) })
	}
}

func (l *loadRun) arrive() {
	l.asked++
	l.ask(l.now, loadTries)
	if l.now < loadDuration {
		l.after(time.Duration(l.rnd.ExpFloat64()/loadPerS*float64(time.Second)), l.arrive)
	}
}

func (l *loadRun) play() {
	l.starts = map[*Waiter]func(){}
	l.after(0, l.arrive)
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(loadEvent)
		l.now = e.at
		e.run()
	}
}

// An upstream with 5 slots serves about 150 statements a second of the 190
// asked for. Refusing early must keep it at useful work; a queue without a
// bound serves callers that have already given up.
func TestOverloadServesWhatFits(t *testing.T) {
	const capacity = loadSlots / 0.033
	for seed := range uint64(5) {
		bounded := &loadRun{rnd: rand.New(rand.NewPCG(seed, 1)), q: Queue{Slots: loadSlots}, maxWait: 400 * time.Millisecond}
		bounded.play()
		useful := float64(bounded.inAim) / (capacity * loadDuration.Seconds())
		qt.Assert(t, useful > 0.9, qt.IsTrue, qt.Commentf("seed %d: %.2f of the capacity was of use, %d of %d asked, %d in vain", seed, useful, bounded.inAim, bounded.asked, bounded.vain))
		unbounded := &loadRun{rnd: rand.New(rand.NewPCG(seed, 1)), q: Queue{Slots: loadSlots}}
		unbounded.play()
		qt.Assert(t, bounded.inAim > unbounded.inAim, qt.IsTrue, qt.Commentf("seed %d: %d with early refusal, %d without", seed, bounded.inAim, unbounded.inAim))
	}
}

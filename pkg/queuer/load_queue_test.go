package queuer

import "time"

// loadQueue adapts the queue to the load test.
type loadQueue struct{ queue *Queue }

func newLoadQueue() loadQueue {
	rates := map[string]float64{}
	for i, rate := range overloadOrganisations {
		rates[organisationNames[i]] = rate
	}
	return loadQueue{&Queue{Slots: overloadSlots, Weight: func(organisation string) float64 { return rates[organisation] }}}
}

func (l loadQueue) offer(now time.Time, w *Waiter, _ opKind) (admitted bool, retryAfter time.Duration) {
	d := l.queue.Offer(now, w)
	return d.Admitted, d.RoomIn
}

func (l loadQueue) observe(kind Kind, took time.Duration, opened bool) {
	if opened {
		l.queue.ObserveOpening(overloadOpening)
		took -= overloadOpening
	}
	l.queue.ObserveStatement(kind, took)
}

func (l loadQueue) expired(now time.Time) []*Waiter { return l.queue.Expire(now) }

package spiller

import "time"

// roundTripWindow is the time after which a shortest round trip is replaced by the
// shortest of the window after it.
const roundTripWindow = 10 * time.Second

// RoundTrips holds the measured round trips to data centres. The shortest of the
// last 10 to 20 seconds counts: longer ones include the opening of a link or the wait
// behind other messages. The zero value knows none.
type RoundTrips struct {
	dataCentres map[string]*roundTrip
}

type roundTrip struct {
	previous, current time.Duration
	begin             time.Time
}

// Record records a measured round trip.
func (r *RoundTrips) Record(dataCentre string, now time.Time, d time.Duration) {
	if r.dataCentres == nil {
		r.dataCentres = map[string]*roundTrip{}
	}
	t := r.dataCentres[dataCentre]
	switch {
	case t == nil || now.Sub(t.begin) >= 2*roundTripWindow:
		r.dataCentres[dataCentre] = &roundTrip{previous: d, current: d, begin: now}
	case now.Sub(t.begin) >= roundTripWindow:
		t.previous, t.current, t.begin = t.current, d, now
	default:
		t.current = min(t.current, d)
	}
}

// Of returns the round trip to a data centre, or false if none was measured.
func (r *RoundTrips) Of(dataCentre string) (time.Duration, bool) {
	t := r.dataCentres[dataCentre]
	if t == nil {
		return 0, false
	}
	return min(t.previous, t.current), true
}

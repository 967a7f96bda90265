package tracker

import "time"

// sampleSpacing thins samples out: a floor loses nothing that matters by the
// absence of some.
const sampleSpacing = 20 * time.Millisecond

// Floors derives the positions that reads must find from samples of a group's
// primary. The zero value knows no sample.
//
// A position of an earlier term may have been rolled back by the promotion that
// began a later one, and an upstream of the later term may never reach it. So a
// sample of a later term replaces all earlier ones: the primary of that term
// holds whatever survived.
type Floors struct {
	sampler Sampler
	latest  Sample
	known   bool
}

// Add records a position that the group's primary told while it led. The
// position was asked for at or after at.
func (f *Floors) Add(at time.Time, p Position) {
	if p.IsZero() || (f.known && p.Less(f.latest.Position)) {
		return
	}
	if f.known && p.Term > f.latest.Position.Term {
		f.sampler = Sampler{}
	} else if f.known && at.Sub(f.latest.At) < sampleSpacing {
		return
	}
	f.sampler.Add(Sample{At: at, Position: p})
	f.latest, f.known = Sample{At: at, Position: p}, true
}

// Floor returns the lowest position with which a read that arrived at now shows
// all commits older than maxAge, and the session's own commits up to own. It
// returns false when a sample is needed first.
func (f *Floors) Floor(now time.Time, maxAge time.Duration, own Position) (Position, bool) {
	p, ok := f.sampler.Floor(now, maxAge)
	if !ok {
		return Position{}, false
	}
	if own.Term == p.Term && p.Less(own) {
		return own, true
	}
	// An own commit of an earlier term is below the sample or rolled back.
	return p, own.Term <= p.Term
}

// Latest returns the newest sample, and false when there is none.
func (f *Floors) Latest() (Sample, bool) { return f.latest, f.known }

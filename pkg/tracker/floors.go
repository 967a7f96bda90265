package tracker

import "time"

// minSampleInterval thins out samples, since a floor does not need all of them.
const minSampleInterval = 20 * time.Millisecond

// Floors computes the minimum log position that an upstream must have reached to
// serve a read, from position samples of the group's primary. The zero value has
// no samples.
//
// A position of an earlier term may have been rolled back by the promotion that
// started a later term, and an upstream of the later term may never reach it.
// Therefore a sample of a later term replaces all earlier ones: the primary of
// that term holds every commit that survived.
type Floors struct {
	sampler   PositionHistory
	latest    Sample
	hasSample bool
}

// AddSample records a position that an upstream reported while it was the group's
// primary. The position must have been requested at or after at.
func (f *Floors) AddSample(at time.Time, p Position) {
	if p.IsZero() || (f.hasSample && p.Less(f.latest.Position)) {
		return
	}
	if f.hasSample && p.Term > f.latest.Position.Term {
		f.sampler = PositionHistory{}
	} else if f.hasSample && at.Sub(f.latest.At) < minSampleInterval {
		return
	}
	f.sampler.Add(Sample{At: at, Position: p})
	f.latest, f.hasSample = Sample{At: at, Position: p}, true
}

// Floor returns the lowest position at which a read that arrived at now sees all
// commits older than maxAge, and the session's own commits up to ownCommit. It
// returns false when a newer sample is needed first.
func (f *Floors) Floor(now time.Time, maxAge time.Duration, ownCommit Position) (Position, bool) {
	p, ok := f.sampler.Floor(now, maxAge)
	if !ok {
		return Position{}, false
	}
	if ownCommit.Term == p.Term && p.Less(ownCommit) {
		return ownCommit, true
	}
	// An own commit of an earlier term is covered by the sample or rolled back.
	return p, ownCommit.Term <= p.Term
}

// LatestSample returns the latest sample, and false when there is none.
func (f *Floors) LatestSample() (Sample, bool) { return f.latest, f.hasSample }

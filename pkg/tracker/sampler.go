package tracker

import "time"

// samplerSize bounds the samples kept for one group.
const samplerSize = 256

// Sample is a primary's position as known at a time of the local clock. The
// position was asked for at or after At.
type Sample struct {
	At       time.Time
	Position Position
}

// Sampler keeps recent positions of a group's primary, to bound the age of
// replicas. The zero value is ready for use.
type Sampler struct {
	samples []Sample
}

// Add records a sample. Samples out of order are ignored.
func (s *Sampler) Add(sample Sample) {
	n := len(s.samples)
	if n > 0 {
		last := s.samples[n-1]
		if sample.At.Before(last.At) || sample.Position.Less(last.Position) {
			return
		}
	}
	if n == samplerSize {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:n-1]
	}
	s.samples = append(s.samples, sample)
}

// Floor returns the lowest position that is no older than maxAge at now. It
// returns false when no sample is that recent.
func (s *Sampler) Floor(now time.Time, maxAge time.Duration) (Position, bool) {
	oldest := now.Add(-maxAge)
	for _, sample := range s.samples {
		if !sample.At.Before(oldest) {
			return sample.Position, true
		}
	}
	return Position{}, false
}

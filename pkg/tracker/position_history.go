package tracker

import "time"

// maxSamples limits the samples kept for one group.
const maxSamples = 256

// Sample is a primary's position with the local time for which it is valid: the
// position was requested at or after At.
type Sample struct {
	At       time.Time
	Position Position
}

// PositionHistory keeps recent positions of a group's primary, to limit the
// staleness of replica reads. The zero value is ready for use.
type PositionHistory struct {
	samples []Sample
}

// Add records a sample. It ignores samples that are out of order.
func (s *PositionHistory) Add(sample Sample) {
	n := len(s.samples)
	if n > 0 {
		last := s.samples[n-1]
		if sample.At.Before(last.At) || sample.Position.Less(last.Position) {
			return
		}
	}
	if n == maxSamples {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:n-1]
	}
	s.samples = append(s.samples, sample)
}

// Floor returns the position of the oldest sample that is no older than maxAge at
// now. It returns false when there is no such sample.
func (s *PositionHistory) Floor(now time.Time, maxAge time.Duration) (Position, bool) {
	oldest := now.Add(-maxAge)
	for _, sample := range s.samples {
		if !sample.At.Before(oldest) {
			return sample.Position, true
		}
	}
	return Position{}, false
}

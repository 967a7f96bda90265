package queuer

import "time"

// Load is the state of an upstream's queue at one moment, as its owner reports it
// to other hosts. The zero value means that nothing is known.
type Load struct {
	// Slots is the number of statements that the upstream runs at once; zero
	// means unknown.
	Slots int
	// Running and Queued count statements.
	Running, Queued int
	// Opening is the number of connections being opened; each occupies a slot.
	Opening int
	// MeanServiceTime is the mean service time of a statement; zero means unknown.
	MeanServiceTime time.Duration
	// HasIdle is true if the owner has an idle connection of the organisation
	// that the report is for.
	HasIdle bool
}

// Load returns the state of the queue. Opening and HasIdle are not known to it.
func (q *Queue) Load() Load {
	return Load{Slots: q.Slots, Running: q.running, Queued: q.waiters.Len(), MeanServiceTime: q.meanService}
}

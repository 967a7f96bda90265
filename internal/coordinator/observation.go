package coordinator

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

const (
	// slowSave is the duration from which a save is logged: a third of the lease.
	slowSave = 100 * time.Millisecond
	// uncertainAfter is how long a control host may know no leader, or lead without a
	// lease, before that is logged: an election with its saves.
	uncertainAfter = time.Second
	// dropReportInterval is the minimum time between two lines about dropped work.
	dropReportInterval = time.Second
)

// Counters are totals since the start of a control host.
type Counters struct {
	// Saves and SaveTime are the number of saves to the disk and the time that they took.
	Saves    uint64
	SaveTime time.Duration
	// SlowSaves is the number of saves that took longer than 100 ms.
	SlowSaves uint64
	// Elections and StepDowns are the elections that this host started and the times that
	// it ceased to lead.
	Elections, StepDowns uint64
	// DroppedTasks is the work for the control goroutine that found its queue full, and
	// DroppedMessages the messages to other control hosts that found theirs full.
	DroppedTasks, DroppedMessages uint64
}

// observer counts what Counters reports, and notices when no leader is certain.
type observer struct {
	saves, slowSaves, saveNanos, elections, stepDowns, droppedMessages atomic.Uint64

	// The fields below belong to the control goroutine.

	// certainAt is when this host last held a lease or knew another leader.
	certainAt time.Time
	// isReported is true while event 1425 was logged without its end.
	isReported      bool
	dropsReportedAt time.Time
	reportedDrops   [2]uint64
}

// Counters returns the totals. It does not wait for the control goroutine.
func (c *Coordinator) Counters() Counters {
	o := &c.observer
	return Counters{
		Saves: o.saves.Load(), SaveTime: time.Duration(o.saveNanos.Load()), SlowSaves: o.slowSaves.Load(), Elections: o.elections.Load(),
		StepDowns: o.stepDowns.Load(), DroppedTasks: c.queue.Dropped(), DroppedMessages: o.droppedMessages.Load(),
	}
}

// recordElectionStep logs and counts a step of an election.
func (c *Coordinator) recordElectionStep(e elector.Event) {
	switch e.Kind {
	case elector.EventElectionStarted:
		c.observer.elections.Add(1)
	case elector.EventSteppedDown:
		c.observer.stepDowns.Add(1)
	}
	c.Log.Info(logger.EventElectionStep, zap.String("step", string(e.Kind)), zap.Uint64("term", e.Term), zap.String("member", e.Peer), zap.String("reason", string(e.Reason)))
}

// recordSave counts a save, and logs it if it was slow.
func (c *Coordinator) recordSave(out elector.Output, duration time.Duration) {
	c.observer.saves.Add(1)
	c.observer.saveNanos.Add(uint64(duration))
	if duration < slowSave {
		return
	}
	c.observer.slowSaves.Add(1)
	bytes := 0
	for _, e := range out.Entries {
		bytes += len(e.Data)
	}
	for _, s := range []*elector.Snapshot{out.Compaction, out.Snapshot} {
		if s != nil {
			bytes += len(s.Data)
		}
	}
	c.Log.Warn(logger.EventControlSaveSlow, zap.Duration("took", duration), zap.Bool("vote", out.HardState != nil), zap.Int("entries", len(out.Entries)), zap.Int("bytes", bytes))
}

// observe logs when no leader is certain for this host, and work that was dropped.
func (c *Coordinator) observe(now time.Time) {
	o := &c.observer
	holdsLease := c.elector.HasLease(now)
	if holdsLease || !c.leadership.leading && c.leaderAddress() != "" || o.certainAt.IsZero() {
		if o.isReported {
			c.logUncertain(now, false)
		}
		o.certainAt, o.isReported = now, false
	} else if !o.isReported && now.Sub(o.certainAt) > uncertainAfter {
		o.isReported = true
		c.logUncertain(now, true)
	}
	drops := [2]uint64{c.queue.Dropped(), o.droppedMessages.Load()}
	if drops != o.reportedDrops && now.Sub(o.dropsReportedAt) >= dropReportInterval {
		c.Log.Warn(logger.EventControlWorkDropped, zap.Uint64("tasks", drops[0]-o.reportedDrops[0]), zap.Uint64("messages", drops[1]-o.reportedDrops[1]))
		o.reportedDrops, o.dropsReportedAt = drops, now
	}
}

func (c *Coordinator) logUncertain(now time.Time, begun bool) {
	c.Log.Warn(logger.EventControlUncertain, zap.Bool("begun", begun), zap.Duration("for", now.Sub(c.observer.certainAt)), zap.String("role", string(c.elector.Role())),
		zap.Uint64("term", c.elector.Term()), zap.Strings("voters", c.elector.Membership().Voters), zap.Uint64("committed", c.elector.CommitIndex()))
}

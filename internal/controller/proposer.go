package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/planner"
)

// proposal is a proposed operation whose caller waits for it to be applied.
type proposal struct {
	term uint64
	done func(*planner.Plan, error)
}

// propose appends an operation to the replicated log. done is called in the
// control goroutine once the operation was applied, or with an error if it was
// refused or its outcome is unknown. It may never be called if the leadership is
// lost.
func (c *Controller) propose(o planner.Operation, done func(*planner.Plan, error)) {
	o.At = time.Now().UTC().Format(time.RFC3339Nano)
	body, err := encodeOperation(o)
	if err != nil {
		done(nil, err)
		return
	}
	index, term, err := c.elector.Propose(body)
	if err != nil {
		done(nil, ErrNotLeader)
		return
	}
	c.proposals[index] = proposal{term: term, done: done}
}

// Propose proposes an operation and waits until it is applied or ctx ends. If
// ctx ends first, the operation may still be committed.
func (c *Controller) Propose(ctx context.Context, o planner.Operation) (planner.Plan, error) {
	type answer struct {
		plan planner.Plan
		err  error
	}
	answers := make(chan answer, 1)
	ok := c.Enqueue(func() {
		c.propose(o, func(p *planner.Plan, err error) {
			a := answer{err: err}
			if p != nil {
				a.plan = *p
			}
			answers <- a
		})
	})
	if !ok {
		return planner.Plan{}, ErrStopped
	}
	select {
	case a := <-answers:
		return a.plan, a.err
	case <-c.queue.Stopped():
		return planner.Plan{}, ErrStopped
	case <-ctx.Done():
		return planner.Plan{}, fmt.Errorf("controller: wait for agreement: %w", ctx.Err())
	}
}

package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/planner"
)

// proposal is an operation whose agreement someone awaits.
type proposal struct {
	term uint64
	done func(*planner.Plan, error)
}

// propose asks for agreement on an operation. done is called in the control
// goroutine once the operation was applied, or with an error if it certainly
// was not. It may never be called when the leadership is lost.
func (c *Controller) propose(o planner.Operation, done func(*planner.Plan, error)) {
	o.At = time.Now().UTC().Format(time.RFC3339Nano)
	body, err := encodeOperation(o)
	if err != nil {
		done(nil, err)
		return
	}
	index, term, err := c.elector.Propose(body)
	if err != nil {
		done(nil, ErrNotLeading)
		return
	}
	c.waiting[index] = proposal{term: term, done: done}
}

// Propose asks for agreement and waits for it until ctx ends. When ctx ends
// first the operation may still be agreed on.
func (c *Controller) Propose(ctx context.Context, o planner.Operation) (planner.Plan, error) {
	type answer struct {
		plan planner.Plan
		err  error
	}
	answers := make(chan answer, 1)
	ok := c.Do(func() {
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
	case <-c.stopped:
		return planner.Plan{}, ErrStopped
	case <-ctx.Done():
		return planner.Plan{}, fmt.Errorf("controller: wait for agreement: %w", ctx.Err())
	}
}

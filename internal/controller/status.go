package controller

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/pkg/elector"
)

// Status is the status of a control host.
type Status struct {
	ID             string             `json:"id"`
	Role           elector.Role       `json:"role"`
	Leader         string             `json:"leader"`
	Term           uint64             `json:"term"`
	CommitIndex    uint64             `json:"committed"`
	Members        elector.Membership `json:"members"`
	Hosts          int                `json:"hosts"`
	Version        uint64             `json:"version"`
	InForceVersion uint64             `json:"in_force"`
	// SealedPages is the number of sealed pages of the record, and StoredPages
	// how many of them this host stores.
	SealedPages uint64 `json:"pages"`
	StoredPages uint64 `json:"held_pages"`
}

// Status returns the current status.
func (c *Controller) Status(ctx context.Context) (Status, error) {
	done := make(chan Status, 1)
	ok := c.Enqueue(func() {
		done <- Status{
			ID: c.ID, Role: c.elector.Role(), Leader: c.elector.Leader(), Term: c.elector.Term(),
			CommitIndex: c.elector.CommitIndex(), Members: c.elector.Membership(),
			Hosts: c.leader.granter.ValidLeaseCount(time.Now()), Version: c.stateMachine.State.Version, InForceVersion: c.leader.inForce,
			SealedPages: c.stateMachine.PageCount(), StoredPages: c.ArchivedPageCount(),
		}
	})
	if !ok {
		return Status{}, ErrStopped
	}
	select {
	case s := <-done:
		return s, nil
	case <-c.queue.Stopped():
		return Status{}, ErrStopped
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

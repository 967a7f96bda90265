package connector

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// statusTimeout bounds a status request whose context has no deadline.
const statusTimeout = time.Second

// QueryStatus requests an upstream's status on a connection of its own.
func (d *Dialer) QueryStatus(ctx context.Context, u keeper.Upstream, requester string) (ReplicationStatus, error) {
	return d.askStatus(ctx, u, requester, Request{Verb: VerbStatus})
}

// Demote makes a primary of an earlier term a replica, on a connection of its own. It
// returns the upstream's status after that. A repeated or late call changes nothing.
func (d *Dialer) Demote(ctx context.Context, u keeper.Upstream, requester string, term uint64) (ReplicationStatus, error) {
	return d.askStatus(ctx, u, requester, Request{Verb: VerbDemote, Term: term})
}

func (d *Dialer) askStatus(ctx context.Context, u keeper.Upstream, requester string, r Request) (ReplicationStatus, error) {
	c, _, err := d.Dial(ctx, u, requester)
	if err != nil {
		return ReplicationStatus{}, err
	}
	defer c.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(statusTimeout)
	}
	a, err := c.Do(deadline, r)
	if err != nil {
		return ReplicationStatus{}, err
	}
	if a.Failure != FailureNone || a.ReplicationStatus == nil {
		return ReplicationStatus{}, fmt.Errorf("connector: upstream %s did not report its status: %s", u.ID, a.Detail)
	}
	return *a.ReplicationStatus, nil
}

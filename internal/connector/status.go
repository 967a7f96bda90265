package connector

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// statusTimeout bounds a status request whose context has no deadline.
const statusTimeout = time.Second

// BusyError is returned when an upstream answered that it had no slot free to report its
// status. It runs, but how much of the log it has received is unknown.
type BusyError struct {
	Upstream string
	// Applied is the position that it showed with its answer: it has received at least
	// the log up to there. Zero means that it showed none.
	Applied tracker.Position
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("connector: upstream %s is too busy to report its status; it has applied %s", e.Upstream, e.Applied)
}

// QueryStatus requests an upstream's status on a connection of its own. It returns a
// BusyError if the upstream runs and had no slot free.
func (d *Dialer) QueryStatus(ctx context.Context, u keeper.Upstream, requester string) (ReplicationStatus, error) {
	return d.askStatus(ctx, u, requester, Request{Verb: VerbStatus})
}

// Demote makes a primary of an earlier term a replica, on a connection of its own. It
// returns the upstream's status after that. A repeated or late call changes nothing.
func (d *Dialer) Demote(ctx context.Context, u keeper.Upstream, requester string, term uint64) (ReplicationStatus, error) {
	return d.askStatus(ctx, u, requester, Request{Verb: VerbDemote, Term: term})
}

func (d *Dialer) askStatus(ctx context.Context, u keeper.Upstream, requester string, r Request) (ReplicationStatus, error) {
	c, greeting, err := d.Dial(ctx, u, requester)
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
	if a.Failure == FailureBusy {
		e := &BusyError{Upstream: u.ID, Applied: a.Position}
		if e.Applied.IsZero() {
			e.Applied = greeting.Position
		}
		return ReplicationStatus{}, e
	}
	if a.Failure != FailureNone || a.ReplicationStatus == nil {
		return ReplicationStatus{}, fmt.Errorf("connector: upstream %s did not report its status: %s", u.ID, a.Detail)
	}
	return *a.ReplicationStatus, nil
}

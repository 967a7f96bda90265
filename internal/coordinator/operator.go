package coordinator

import (
	"context"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// Configure lets the fleet agree on a document that was found valid. It
// returns nil once the version, or a higher one, is agreed on.
func (c *Coordinator) Configure(ctx context.Context, version uint64, document []byte) error {
	return c.wait(ctx, func(done func(error)) {
		if !c.elector.HasLease(c.Now()) {
			done(ErrNotLeading)
			return
		}
		if version <= c.state.Configuration().Version {
			done(nil)
			return
		}
		command := keeper.Command{Kind: keeper.CommandConfigure, Version: version, Document: document}
		c.propose(command, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// Document returns the newest agreed configuration as the operator sent it, or
// ErrNotLeading when this host cannot be sure of it.
func (c *Coordinator) Document(ctx context.Context) ([]byte, error) {
	document := make(chan []byte, 1)
	err := c.wait(ctx, func(done func(error)) {
		// The lease is checked after the question arrived, by a clock that
		// counts suspensions: nothing newer was agreed on before the question.
		if !c.elector.HasLease(c.Now()) {
			done(ErrNotLeading)
			return
		}
		document <- c.state.Document
		done(nil)
	})
	if err != nil {
		return nil, err
	}
	return <-document, nil
}

// Observe takes an upstream's announcement. It returns nil once what is new in
// it is agreed on.
func (c *Coordinator) Observe(ctx context.Context, u keeper.Upstream) error {
	return c.wait(ctx, func(done func(error)) {
		if !c.elector.HasLease(c.Now()) {
			done(ErrNotLeading)
			return
		}
		if old, ok := c.state.Upstreams[u.ID]; !ok || old.Born <= u.Born {
			c.lead.announced[u.ID] = c.Now()
		}
		if !c.state.IsNews(u) {
			done(nil)
			return
		}
		c.propose(keeper.Command{Kind: keeper.CommandObserve, Upstream: &u}, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// Withdraw takes an upstream's farewell.
func (c *Coordinator) Withdraw(ctx context.Context, id string, born int64) error {
	return c.wait(ctx, func(done func(error)) {
		if !c.elector.HasLease(c.Now()) {
			done(ErrNotLeading)
			return
		}
		if _, ok := c.state.Upstreams[id]; !ok {
			done(nil)
			return
		}
		command := keeper.Command{Kind: keeper.CommandRemove, Upstream: &keeper.Upstream{ID: id, Born: born}}
		c.propose(command, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// LeaderOperatorAddress returns where operators reach the leading control
// host, or nothing when it is this one or not known.
func (c *Coordinator) LeaderOperatorAddress(ctx context.Context) string {
	address := ""
	_ = c.wait(ctx, func(done func(error)) {
		if leader := c.elector.Leader(); leader != c.id {
			if address = c.state.Members[leader].OperatorAddress; address == "" {
				address = c.toldLeader().OperatorAddress
			}
		}
		done(nil)
	})
	return address
}

// Standing is what a control host is and knows.
type Standing struct {
	Leads   bool
	Term    uint64
	Applied uint64
	// Version is the newest configuration that the host has applied.
	Version   uint64
	Voters    int
	Hosts     int
	Upstreams int
}

// Standing returns the host's standing; ok is false when the host is too busy
// to tell.
func (c *Coordinator) Standing(ctx context.Context) (s Standing, ok bool) {
	told := make(chan Standing, 1)
	err := c.wait(ctx, func(done func(error)) {
		told <- Standing{
			Leads: c.lead.leading, Term: c.elector.Term(), Applied: c.applied, Version: c.state.Configuration().Version,
			Voters: len(c.elector.Membership().Voters), Hosts: len(c.lead.hosts), Upstreams: len(c.state.Upstreams),
		}
		done(nil)
	})
	if err != nil {
		return Standing{}, false
	}
	return <-told, true
}

// wait runs f in the control goroutine until done is called or ctx ends.
func (c *Coordinator) wait(ctx context.Context, f func(done func(error))) error {
	result := make(chan error, 1)
	if !c.do(func() { f(func(err error) { result <- err }) }) {
		return ErrStopped
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return ErrStopped
	}
}

// operatorTimeout bounds an operator's call: callers move on after a second.
const operatorTimeout = 900 * time.Millisecond

// OperatorTimeout returns how long an operator's call is worked on.
func OperatorTimeout() time.Duration { return operatorTimeout }

package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// Configure replicates a validated configuration document. It returns nil once
// the version, or a higher one, is committed.
func (c *Coordinator) Configure(ctx context.Context, version uint64, document []byte) error {
	return c.callLeader(ctx, func(done func(error)) {
		if version <= c.state.Configuration().Version {
			done(nil)
			return
		}
		command := keeper.Command{Kind: keeper.CommandConfigure, Version: version, Document: document}
		c.propose(command, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// ConfigurationDocument returns the latest committed configuration as the
// operator sent it, or ErrNotLeader if this host cannot be sure that it is the
// latest.
func (c *Coordinator) ConfigurationDocument(ctx context.Context) ([]byte, error) {
	document := make(chan []byte, 1)
	err := c.callLeader(ctx, func(done func(error)) {
		d, err := c.currentDocument()
		document <- d
		done(err)
	})
	if err != nil {
		return nil, err
	}
	return <-document, nil
}

// currentDocument is ConfigurationDocument in the control goroutine. The lease is checked
// after the request arrived, by a clock that advances during suspensions: nothing newer
// was committed before the request.
func (c *Coordinator) currentDocument() ([]byte, error) {
	if !c.elector.HasLease(c.Now()) {
		return nil, ErrNotLeader
	}
	return c.state.Document, nil
}

// AnnouncementConflictError means that an announcement contradicts what is agreed, so
// that it cannot be the upstream's.
type AnnouncementConflictError struct {
	Upstream string
	Reason   string
}

// Error implements error.
func (e *AnnouncementConflictError) Error() string {
	return "coordinator: announcement of upstream " + e.Upstream + ": " + e.Reason
}

// maxUnknownServiceUpstreams bounds the upstreams of services that the configuration does
// not name: they announced themselves before the configuration that names them came, or
// are another writer's.
const maxUnknownServiceUpstreams = 64

// contradiction returns what an announcement contradicts, or an empty string. An upstream
// keeps its service and address until it restarts, and one of an unknown service does not
// take the address of another.
func (c *Coordinator) contradiction(u keeper.Upstream) string {
	old, known := c.state.Upstreams[u.ID]
	if known && u.IncarnationStart != 0 && old.IncarnationStart == u.IncarnationStart && (old.Service != u.Service || old.Address != u.Address) {
		return "the same incarnation is of service " + old.Service + " at " + old.Address
	}
	services := c.state.Configuration().Services
	if _, ok := services[u.Service]; ok || len(services) == 0 {
		return ""
	}
	unknown := 0
	for id, other := range c.state.Upstreams {
		_, named := services[other.Service]
		if named && id != u.ID && other.Address == u.Address {
			return "its service is unknown and its address that of " + id
		}
		if !named {
			unknown++
		}
	}
	if !known && unknown >= maxUnknownServiceUpstreams {
		return fmt.Sprintf("%d upstreams of unknown services are recorded", unknown)
	}
	return ""
}

// RecordAnnouncement records an upstream's announcement. It returns nil once
// the changes in it are committed, and an AnnouncementConflictError if it contradicts what
// is agreed.
func (c *Coordinator) RecordAnnouncement(ctx context.Context, u keeper.Upstream) error {
	return c.callLeader(ctx, func(done func(error)) {
		if reason := c.contradiction(u); reason != "" {
			done(&AnnouncementConflictError{Upstream: u.ID, Reason: reason})
			return
		}
		if old, ok := c.state.Upstreams[u.ID]; !ok || old.IncarnationStart <= u.IncarnationStart {
			c.leadership.lastAnnounced[u.ID] = c.Now()
		}
		if !c.state.IsNewAnnouncement(u) && !c.warmupChanged(u) {
			done(nil)
			return
		}
		c.recordWarmup(u)
		c.propose(keeper.Command{Kind: keeper.CommandUpdateUpstream, Upstream: &u}, func(_ keeper.Outcome, err error) {
			if err != nil {
				c.forgetWarmup(u.ID)
			}
			done(err)
		})
	})
}

// RemoveUpstream removes an upstream that announced its shutdown.
func (c *Coordinator) RemoveUpstream(ctx context.Context, id string, incarnationStart int64) error {
	return c.callLeader(ctx, func(done func(error)) {
		if _, ok := c.state.Upstreams[id]; !ok {
			done(nil)
			return
		}
		command := keeper.Command{Kind: keeper.CommandRemoveUpstream, Upstream: &keeper.Upstream{ID: id, IncarnationStart: incarnationStart}}
		c.propose(command, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// Evacuate orders that nothing more is sent to the upstreams of a data centre. It returns
// nil once the order is committed, also if it was in effect before.
func (c *Coordinator) Evacuate(ctx context.Context, dataCentre string) error {
	return c.proposeEvacuation(ctx, keeper.Command{Kind: keeper.CommandEvacuate, DataCentre: dataCentre})
}

// EndEvacuation revokes the order for a data centre. It returns nil once that is
// committed, also if there was no order.
func (c *Coordinator) EndEvacuation(ctx context.Context, dataCentre string) error {
	return c.proposeEvacuation(ctx, keeper.Command{Kind: keeper.CommandEndEvacuation, DataCentre: dataCentre})
}

// proposeEvacuation replicates a command even if the state shows its result already: an
// earlier command whose answer was lost may still be on its way to the state.
func (c *Coordinator) proposeEvacuation(ctx context.Context, command keeper.Command) error {
	return c.callLeader(ctx, func(done func(error)) {
		c.propose(command, func(_ keeper.Outcome, err error) { done(err) })
	})
}

// LeaderOperatorAddress returns the operators' address of the leader, or an empty
// string if this host leads or the leader is unknown.
func (c *Coordinator) LeaderOperatorAddress(ctx context.Context) string {
	address := ""
	_ = c.call(ctx, func(done func(error)) {
		if leader := c.elector.Leader(); leader != c.id {
			if address = c.state.Members[leader].OperatorAddress; address == "" {
				address = c.freshLeaderHint().OperatorAddress
			}
		}
		done(nil)
	})
	return address
}

// Status is the status of a control host.
type Status struct {
	Leads bool
	// HoldsLease is true while the host certainly leads.
	HoldsLease bool
	Term       uint64
	Applied    uint64
	// Version is the latest configuration that the host has applied.
	Version   uint64
	Voters    int
	Hosts     int
	Upstreams int
	// Evacuations is the number of evacuated data centres.
	Evacuations int
}

// Status returns the host's status; ok is false if the host is too busy to
// answer before ctx ends.
func (c *Coordinator) Status(ctx context.Context) (s Status, ok bool) {
	status := make(chan Status, 1)
	err := c.call(ctx, func(done func(error)) {
		status <- Status{
			Leads: c.leadership.leading, HoldsLease: c.elector.HasLease(c.Now()), Term: c.elector.Term(), Applied: c.applied, Version: c.state.Configuration().Version,
			Voters: len(c.elector.Membership().Voters), Hosts: len(c.leadership.hosts), Upstreams: len(c.state.Upstreams),
			Evacuations: len(c.state.Evacuations),
		}
		done(nil)
	})
	if err != nil {
		return Status{}, false
	}
	return <-status, true
}

// call runs f in the control goroutine and waits until f calls done or ctx ends.
func (c *Coordinator) call(ctx context.Context, f func(done func(error))) error {
	result := make(chan error, 1)
	if !c.submit(func() { f(func(err error) { result <- err }) }) {
		return ErrStopped
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.queue.Stopped():
		return ErrStopped
	}
}

// operatorTimeout bounds an operator's call: callers try another host after a
// second.
const operatorTimeout = 900 * time.Millisecond

// OperatorTimeout returns the timeout of an operator's call.
func OperatorTimeout() time.Duration { return operatorTimeout }

package coordinator

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// apply applies a committed entry to the state and answers its proposer.
func (c *Coordinator) apply(e elector.Entry) {
	c.applied = e.Index
	c.logBytes += len(e.Data)
	if e.Kind == elector.EntryMembership {
		c.Log.Info(logger.EventControlMembersChanged, zap.Uint64("index", e.Index), zap.Strings("voters", e.Membership.Voters), zap.Strings("learners", e.Membership.Learners))
	}
	if e.Kind != elector.EntryCommand {
		c.answer(e, keeper.Outcome{}, nil)
		return
	}
	var command keeper.Command
	if err := json.Unmarshal(e.Data, &command); err != nil {
		c.Log.Error(logger.EventEntryIgnored, zap.String("part", "log"), zap.Uint64("index", e.Index), zap.Error(err))
		c.answer(e, keeper.Outcome{}, fmt.Errorf("coordinator: decode entry %d: %w", e.Index, err))
		return
	}
	out := c.state.Apply(command, e.Index)
	if command.Kind == keeper.CommandSetMember {
		c.transport.addAddresses(c.state.Members)
	}
	c.recordEvacuation(command, e, out)
	c.logApplied(command, e.Index, out)
	c.answer(e, out, out.Err)
}

func (c *Coordinator) logApplied(command keeper.Command, index uint64, out keeper.Outcome) {
	fields := []zap.Field{zap.Uint64("index", index), zap.String("command", string(command.Kind)), zap.Bool("changed", out.Changed)}
	switch command.Kind {
	case keeper.CommandConfigure:
		fields = append(fields, zap.Uint64("version", command.Version))
	case keeper.CommandUpdateUpstream, keeper.CommandRemoveUpstream:
		u := command.Upstream
		fields = append(fields, zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.String("life", string(u.Lifecycle)), zap.String("role", string(u.Role)), zap.Int64("born", u.IncarnationStart), zap.Uint64("sequence", u.Sequence))
	case keeper.CommandPromote:
		fields = append(fields, zap.String("service", command.Service), zap.String("candidate", command.Candidate), zap.String("reason", command.Reason))
	case keeper.CommandHostJoined, keeper.CommandHostLeft:
		fields = append(fields, zap.String("host", command.Host))
	case keeper.CommandEvacuate, keeper.CommandEndEvacuation:
		fields = append(fields, zap.String("data_centre", command.DataCentre))
	case keeper.CommandSetMember:
		fields = append(fields, zap.String("member", command.Member.ID), zap.String("address", command.Member.PeerAddress))
	}
	c.Log.Info(logger.EventCommandApplied, fields...)
}

// answer reports the result of an entry to the proposer that waits for it.
func (c *Coordinator) answer(e elector.Entry, out keeper.Outcome, err error) {
	p, ok := c.pending[e.Index]
	delete(c.pending, e.Index)
	if !ok {
		return
	}
	if p.term != e.Term {
		p.done(keeper.Outcome{}, ErrNotLeader)
		return
	}
	p.done(out, err)
}

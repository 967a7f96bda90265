package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/replacer"
)

const (
	// announceInterval is the time between a control host's announcements.
	announceInterval = 400 * time.Millisecond
	// searchInterval is that time while no leader is known.
	searchInterval = 100 * time.Millisecond
	// announceLimit bounds one announcement with its answer.
	announceLimit = 700 * time.Millisecond
	// toldLife is how long a host that hears no leader believes the answer to an
	// announcement: the time to the next one.
	toldLife = 800 * time.Millisecond
	// replaceAfter is the silence after which a voter gives way to a spare that
	// stands by: more than two heartbeats lost and the way between regions.
	replaceAfter = 1200 * time.Millisecond
	// memberLiveWithin is the silence up to which a control host counts as
	// live.
	memberLiveWithin = 1500 * time.Millisecond
)

// notice is a control host's announcement, and its answer.
type notice struct {
	Member keeper.Member `json:"member"`
	// Leader is the leading control host, if the asked one knows it.
	Leader *keeper.Member `json:"leader,omitempty"`
}

// self is what the fleet is to know of this host.
func (c *Coordinator) self() keeper.Member {
	return keeper.Member{ID: c.id, Node: c.Node, PeerAddress: c.PeerAddress, OperatorAddress: c.OperatorAddress, DataCentre: c.DataCentre, Region: c.Region}
}

// announce tells the leading control host of this one until ctx ends.
func (c *Coordinator) announce(ctx context.Context) {
	target := ""
	for pause := time.Duration(0); ; pause = announcePause(target) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if leader := c.knownLeader(ctx); leader != "" {
			target = leader
		}
		if target == c.PeerAddress {
			target = ""
			continue
		}
		if target == "" {
			target = c.anySeed()
		}
		if target == "" {
			continue
		}
		leader, err := c.announceTo(ctx, target)
		if err != nil || leader == nil {
			target = ""
			continue
		}
		c.links.learn(*leader)
		target = leader.PeerAddress
		c.do(func() { c.told, c.toldAt = *leader, c.Now() })
	}
}

// announcePause returns the time to the next announcement.
func announcePause(target string) time.Duration {
	if target == "" {
		return searchInterval
	}
	return announceInterval
}

// knownLeader returns the address of the leader as the agreement knows it.
func (c *Coordinator) knownLeader(ctx context.Context) string {
	found := make(chan string, 1)
	if !c.do(func() {
		if c.lead.leading {
			c.noticeSelf()
			found <- c.PeerAddress
			return
		}
		found <- c.leaderAddress()
	}) {
		return ""
	}
	select {
	case a := <-found:
		return a
	case <-ctx.Done():
		return ""
	}
}

// noticeSelf lets the leader take its own announcement.
func (c *Coordinator) noticeSelf() { c.takeNotice(c.self()) }

// leaderAddress returns the peer address of the leader, or nothing.
func (c *Coordinator) leaderAddress() string {
	if leader := c.elector.Leader(); leader != "" {
		return c.links.addressOf(leader)
	}
	return c.toldLeader().PeerAddress
}

// toldLeader returns the leader that others tell of. A host that takes no part in
// the agreement, or was taken out of it, does not hear the leader itself.
func (c *Coordinator) toldLeader() keeper.Member {
	if c.Now().Sub(c.toldAt) < toldLife {
		return c.told
	}
	return keeper.Member{}
}

func (c *Coordinator) anySeed() string {
	seeds := slices.DeleteFunc(slices.Clone(c.Seeds()), func(s string) bool { return s == c.PeerAddress })
	if len(seeds) == 0 {
		return ""
	}
	return seeds[rand.IntN(len(seeds))]
}

func (c *Coordinator) announceTo(ctx context.Context, address string) (*keeper.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	dialCtx, stop := context.WithTimeout(ctx, linkDialLimit)
	conn, err := c.Dial(dialCtx, address)
	stop()
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	out := notice{}
	if err := conn.Invoke(ctx, rpcAnnounce, linker.JSON{}, &notice{Member: c.self()}, &out); err != nil {
		return nil, fmt.Errorf("coordinator: announce to %s: %w", address, err)
	}
	return out.Leader, nil
}

// takeAnnouncement answers another control host's announcement.
func (c *Coordinator) takeAnnouncement(stream drpc.Stream) error {
	var in notice
	if err := stream.MsgRecv(&in, linker.JSON{}); err != nil {
		return err
	}
	answer := make(chan notice, 1)
	if !c.do(func() { answer <- c.answerNotice(in) }) {
		return ErrStopped
	}
	select {
	case out := <-answer:
		return stream.MsgSend(&out, linker.JSON{})
	case <-stream.Context().Done():
		return stream.Context().Err()
	case <-c.stopped:
		return ErrStopped
	}
}

func (c *Coordinator) answerNotice(in notice) notice {
	c.links.learn(in.Member)
	if c.lead.leading {
		c.takeNotice(in.Member)
		self := c.self()
		return notice{Leader: &self}
	}
	leader := c.elector.Leader()
	if m, ok := c.state.Members[leader]; ok {
		return notice{Leader: &m}
	}
	if address := c.leaderAddress(); address != "" {
		return notice{Leader: &keeper.Member{ID: leader, PeerAddress: address}}
	}
	return notice{}
}

// takeNotice lets the fleet agree on a control host's address.
func (c *Coordinator) takeNotice(m keeper.Member) {
	c.lead.heard[m.ID] = c.Now()
	if c.lead.members[m.ID] == m {
		return
	}
	c.lead.members[m.ID] = m
	c.propose(keeper.Command{Kind: keeper.CommandMember, Member: &m}, func(_ keeper.Outcome, err error) {
		if err != nil {
			delete(c.lead.members, m.ID)
		}
	})
}

// replaceMembers takes the next step of a replacement.
func (c *Coordinator) replaceMembers(now time.Time) {
	membership := c.elector.Membership()
	v := replacer.View{
		Now: now, Self: c.id, Membership: membership, Contact: map[string]time.Time{}, Match: map[string]uint64{},
		Committed: c.elector.Committed(), Hosts: map[string]configurer.ControlHost{}, Heard: c.lead.heard,
	}
	for _, id := range membership.All() {
		v.Contact[id], v.Match[id] = c.elector.Contact(id), c.elector.Match(id)
	}
	for id := range c.lead.heard {
		v.Hosts[id] = c.controlHost(id)
	}
	for _, id := range membership.Voters {
		v.Hosts[id] = c.controlHost(id)
	}
	r := replacer.Replacer{After: replaceAfter, LiveWithin: memberLiveWithin, Voters: c.Voters}
	action := r.Decide(v)
	if action.Kind == replacer.ActionNone {
		return
	}
	err := c.elector.ChangeMembership(action.Next)
	if errors.Is(err, elector.ErrMembershipPending) {
		return
	}
	c.Log.Info(logger.EventMembersPlanned, zap.String("step", string(action.Kind)), zap.String("member", action.Host), zap.String("reason", action.Why), zap.Error(err))
}

// controlHost describes a control host for the decision. One whose address was
// taken by a host with another folder has lost its own.
func (c *Coordinator) controlHost(id string) configurer.ControlHost {
	h := configurer.ControlHost{ID: id, Address: c.links.addressOf(id)}
	if m, ok := c.state.Members[id]; ok {
		h.DataCentre, h.Region, h.Address = m.DataCentre, m.Region, m.PeerAddress
	}
	for other, m := range c.lead.members {
		if other != id && m.PeerAddress == h.Address && c.lead.heard[id].Before(c.lead.heard[other]) {
			h.Leaving = true
		}
	}
	return h
}

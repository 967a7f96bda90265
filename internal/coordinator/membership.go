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
	// leaderSearchInterval is that time while no leader is known.
	leaderSearchInterval = 100 * time.Millisecond
	// announceTimeout bounds one announcement with its answer.
	announceTimeout = 700 * time.Millisecond
	// leaderHintTTL is how long a host that receives nothing from a leader relies
	// on the answer to an announcement: the time until the next one.
	leaderHintTTL = 800 * time.Millisecond
	// voterSilenceTimeout is the silence after which a spare replaces a voter:
	// more than two lost heartbeats and the latency between regions.
	voterSilenceTimeout = 1200 * time.Millisecond
	// memberLiveTimeout is the silence up to which a control host counts as live.
	memberLiveTimeout = 1500 * time.Millisecond
)

// notice is a control host's announcement, and the answer to it. Its name
// appears in the errors of encoding/json that the RPC returns, so it must not
// change.
type notice struct {
	Member keeper.Member `json:"member"`
	// Leader is the leader, if the answering host knows it.
	Leader *keeper.Member `json:"leader,omitempty"`
}

// self returns this host as a member of the fleet.
func (c *Coordinator) self() keeper.Member {
	return keeper.Member{ID: c.id, Node: c.Node, PeerAddress: c.PeerAddress, OperatorAddress: c.OperatorAddress, DataCentre: c.DataCentre, Region: c.Region}
}

// announce sends announcements of this host to the leader until ctx ends.
func (c *Coordinator) announce(ctx context.Context) {
	target := ""
	for pause := time.Duration(0); ; pause = announceDelay(target) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if leader := c.lookUpLeader(ctx); leader != "" {
			target = leader
		}
		if target == c.PeerAddress {
			target = ""
			continue
		}
		if target == "" {
			target = c.randomSeed()
		}
		if target == "" {
			continue
		}
		leader, err := c.announceTo(ctx, target)
		if err != nil || leader == nil || linker.CheckAddress(leader.PeerAddress) != nil {
			target = ""
			continue
		}
		c.transport.setAddress(*leader)
		target = leader.PeerAddress
		c.submit(func() { c.leaderHint, c.leaderHintAt = *leader, c.Now() })
	}
}

// announceDelay returns the time to the next announcement.
func announceDelay(target string) time.Duration {
	if target == "" {
		return leaderSearchInterval
	}
	return announceInterval
}

// lookUpLeader returns the address of the leader from the control goroutine, or
// an empty string. On the leader it also records its own announcement.
func (c *Coordinator) lookUpLeader(ctx context.Context) string {
	found := make(chan string, 1)
	if !c.submit(func() {
		if c.leadership.leading {
			c.announceSelf()
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

// announceSelf records the leader's own announcement.
func (c *Coordinator) announceSelf() { c.recordMember(c.self()) }

// leaderAddress returns the peer address of the leader, or an empty string.
func (c *Coordinator) leaderAddress() string {
	if leader := c.elector.Leader(); leader != "" {
		return c.transport.addressOf(leader)
	}
	return c.freshLeaderHint().PeerAddress
}

// freshLeaderHint returns the leader that another host named recently. A host
// that is no member of the consensus group, or was removed from it, receives
// nothing from the leader itself.
func (c *Coordinator) freshLeaderHint() keeper.Member {
	if c.Now().Sub(c.leaderHintAt) < leaderHintTTL {
		return c.leaderHint
	}
	return keeper.Member{}
}

func (c *Coordinator) randomSeed() string {
	seeds := slices.DeleteFunc(slices.Clone(c.Seeds()), func(s string) bool { return s == c.PeerAddress })
	if len(seeds) == 0 {
		return ""
	}
	return seeds[rand.IntN(len(seeds))]
}

func (c *Coordinator) announceTo(ctx context.Context, address string) (*keeper.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	dialCtx, stop := context.WithTimeout(ctx, peerDialTimeout)
	conn, err := c.Dial(dialCtx, address)
	stop()
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	out := notice{}
	if err := conn.Invoke(ctx, rpcAnnounce, linker.JSONEncoding{}, &notice{Member: c.self()}, &out); err != nil {
		return nil, fmt.Errorf("coordinator: announce to %s: %w", address, err)
	}
	return out.Leader, nil
}

// serveAnnouncement answers another control host's announcement.
func (c *Coordinator) serveAnnouncement(stream drpc.Stream) error {
	var in notice
	if err := stream.MsgRecv(&in, linker.JSONEncoding{}); err != nil {
		return err
	}
	if err := checkMember(in.Member); err != nil {
		c.Log.Warn(logger.EventEntryIgnored, zap.String("part", "announcement of a control host"), zap.Error(err))
		return err
	}
	answer := make(chan notice, 1)
	if !c.submit(func() { answer <- c.handleAnnouncement(in) }) {
		return ErrStopped
	}
	select {
	case out := <-answer:
		return stream.MsgSend(&out, linker.JSONEncoding{})
	case <-stream.Context().Done():
		return stream.Context().Err()
	case <-c.queue.Stopped():
		return ErrStopped
	}
}

// checkMember returns an error unless a control host can be reached as it announces.
func checkMember(m keeper.Member) error {
	if m.ID == "" {
		return errors.New("coordinator: control host without an ID")
	}
	return linker.CheckAddress(m.PeerAddress)
}

func (c *Coordinator) handleAnnouncement(in notice) notice {
	c.transport.setAddress(in.Member)
	if c.leadership.leading {
		c.recordMember(in.Member)
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

// recordMember records a control host's announcement and proposes its details if
// they have changed.
func (c *Coordinator) recordMember(m keeper.Member) {
	c.leadership.membersSeen[m.ID] = c.Now()
	if c.leadership.members[m.ID] == m {
		return
	}
	c.leadership.members[m.ID] = m
	c.propose(keeper.Command{Kind: keeper.CommandSetMember, Member: &m}, func(_ keeper.Outcome, err error) {
		if err != nil {
			delete(c.leadership.members, m.ID)
		}
	})
}

// updateMembership performs the next step of a membership change.
func (c *Coordinator) updateMembership(now time.Time) {
	membership := c.elector.Membership()
	v := replacer.View{
		Now: now, Self: c.id, Membership: membership, LastAckSentAt: map[string]time.Time{}, MatchIndex: map[string]uint64{},
		CommitIndex: c.elector.CommitIndex(), Hosts: map[string]configurer.ControlHost{}, LastAnnouncement: c.leadership.membersSeen,
	}
	for _, id := range membership.All() {
		v.LastAckSentAt[id], v.MatchIndex[id] = c.elector.LastAckSentAt(id), c.elector.MatchIndex(id)
	}
	for id := range c.leadership.membersSeen {
		v.Hosts[id] = c.controlHost(id)
	}
	for _, id := range membership.Voters {
		v.Hosts[id] = c.controlHost(id)
	}
	r := replacer.Replacer{ReplaceAfter: voterSilenceTimeout, LivenessTimeout: memberLiveTimeout, TargetVoters: c.Voters}
	action := r.Decide(v)
	if action.Kind == replacer.ActionNone {
		return
	}
	err := c.elector.ChangeMembership(action.Membership)
	if errors.Is(err, elector.ErrMembershipPending) {
		return
	}
	c.Log.Info(logger.EventControlMembersPlanned, zap.String("step", string(action.Kind)), zap.String("member", action.Host), zap.String("reason", action.Reason), zap.Error(err))
}

// controlHost describes a control host for the replacer. If a host with another
// data directory has since announced the same address, this one has lost its data
// and counts as shutting down.
func (c *Coordinator) controlHost(id string) configurer.ControlHost {
	h := configurer.ControlHost{ID: id, Address: c.transport.addressOf(id)}
	if m, ok := c.state.Members[id]; ok {
		h.DataCentre, h.Region, h.Address = m.DataCentre, m.Region, m.PeerAddress
	}
	for other, m := range c.leadership.members {
		if other != id && m.PeerAddress == h.Address && c.leadership.membersSeen[id].Before(c.leadership.membersSeen[other]) {
			h.Leaving = true
		}
	}
	return h
}

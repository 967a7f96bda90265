package controller

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/requester"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/promoter"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// orderRetryInterval is the minimum time between two sends of an order.
	orderRetryInterval = 300 * time.Millisecond
	// orderTimeout is the timeout of the request that carries an order.
	orderTimeout = time.Second
)

type orderKey struct {
	upstream string
	kind     promoter.ActionKind
	term     uint64
}

// execute carries out an action of the promoter for a group: it proposes the
// new group state or sends an order to an upstream.
func (c *Controller) execute(g configurer.Group, a promoter.Action, now time.Time) {
	if a.Kind == promoter.ActionPropose {
		c.proposeFleetChange("group/"+g.ID, configurer.KindGroup, g.ID, a.Group, a.Reason)
		return
	}
	key := orderKey{a.Upstream, a.Kind, a.Term}
	if now.Sub(c.leader.orderSentAt[key]) < orderRetryInterval {
		return
	}
	c.leader.orderSentAt[key] = now
	u := c.stateMachine.State.Upstreams[a.Upstream]
	primary := c.stateMachine.State.Upstreams[g.Primary].PlatformAddress
	since := c.leader.since
	go c.sendOrder(g.ID, u, a, primary, since)
}

// platformStatus is an upstream's response to an order.
type platformStatus struct {
	Role       string           `json:"role"`
	Instance   string           `json:"instance"`
	Position   tracker.Position `json:"position"`
	FencedTerm uint64           `json:"fenced_term"`
	Lineage    tracker.Lineage  `json:"lineage"`
}

// sendOrder sends an order to an upstream's platform interface and passes the
// response to the control goroutine.
func (c *Controller) sendOrder(group string, u configurer.Upstream, a promoter.Action, primary string, since time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	body := struct {
		Term           uint64 `json:"term"`
		PrimaryAddress string `json:"primary_address,omitempty"`
	}{Term: a.Term}
	if a.Kind == promoter.ActionFollow {
		body.PrimaryAddress = primary
	}
	var status platformStatus
	r := requester.Requester{Token: c.PlatformToken, HTTP: c.Client}
	if err := r.Do(ctx, http.MethodPost, "http://"+u.PlatformAddress+"/v1/"+string(a.Kind), body, &status); err != nil {
		c.Log.Warn(logger.EventPlatformOrderFailed, zap.String("upstream", u.ID), zap.String("order", string(a.Kind)), zap.Error(err))
		return
	}
	c.Enqueue(func() {
		if !c.leader.active || c.leader.since != since || c.stateMachine.State.Groups[group].Term != a.Term {
			return
		}
		if c.leader.statuses[group] == nil {
			c.leader.statuses[group] = map[string]promoter.UpstreamStatus{}
		}
		c.leader.statuses[group][u.ID] = promoter.UpstreamStatus{
			Upstream: u.ID, Instance: status.Instance, Position: status.Position, FencedTerm: status.FencedTerm,
			Primary: status.Role == "primary", Lineage: status.Lineage,
		}
	})
}

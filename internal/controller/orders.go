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
	// orderRetry is the time after which an unanswered order is repeated.
	orderRetry = 300 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = time.Second
)

type orderKey struct {
	upstream string
	kind     promoter.ActionKind
	term     uint64
}

// act carries out what the promoter decided for a group.
func (c *Controller) act(g configurer.Group, a promoter.Action, now time.Time) {
	if a.Kind == promoter.ActionPropose {
		c.proposeFleet("group/"+g.ID, configurer.KindGroup, g.ID, a.Group, a.Why)
		return
	}
	key := orderKey{a.Upstream, a.Kind, a.Term}
	if now.Sub(c.lead.orders[key]) < orderRetry {
		return
	}
	c.lead.orders[key] = now
	u := c.book.State.Upstreams[a.Upstream]
	primary := c.book.State.Upstreams[g.Primary].PlatformAddress
	since := c.lead.since
	go c.order(g.ID, u, a, primary, since)
}

// platformStatus is an upstream's answer to an order.
type platformStatus struct {
	Role       string           `json:"role"`
	Instance   string           `json:"instance"`
	Position   tracker.Position `json:"position"`
	FencedTerm uint64           `json:"fenced_term"`
	Lineage    tracker.Lineage  `json:"lineage"`
}

// order carries an order to an upstream's platform interface and its answer
// back to the control goroutine.
func (c *Controller) order(group string, u configurer.Upstream, a promoter.Action, primary string, since time.Time) {
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
		c.Log.Warn(logger.EventOrderFailed, zap.String("upstream", u.ID), zap.String("order", string(a.Kind)), zap.Error(err))
		return
	}
	c.Do(func() {
		if !c.lead.active || c.lead.since != since || c.book.State.Groups[group].Term != a.Term {
			return
		}
		if c.lead.answers[group] == nil {
			c.lead.answers[group] = map[string]promoter.Answer{}
		}
		c.lead.answers[group][u.ID] = promoter.Answer{
			Upstream: u.ID, Instance: status.Instance, Position: status.Position, FencedTerm: status.FencedTerm,
			Primary: status.Role == "primary", Lineage: status.Lineage,
		}
	})
}

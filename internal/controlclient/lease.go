package controlclient

import (
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// HoldsLease reports whether this host holds the lease on primaries.
func (c *Client) HoldsLease() bool { return c.Now().UnixNano() < c.leaseUntil.Load() }

// latestPromotion returns the token of the latest promotion.
func latestPromotion(promotions map[string]keeper.Promotion) uint64 {
	latest := uint64(0)
	for _, p := range promotions {
		latest = max(latest, p.Token)
	}
	return latest
}

// publishLease makes a renewed lease visible. A topology that came with it has been
// applied before.
func (c *Client) publishLease() {
	until, now := c.holder.ExpiresAt(), c.Now()
	if until.IsZero() || !c.holder.Valid(now) {
		return
	}
	without := now.UnixNano() - c.leaseUntil.Load()
	if without > 0 && c.OnLeaseEnded != nil {
		c.OnLeaseEnded()
	}
	c.leaseUntil.Store(until.UnixNano())
	if without > 0 {
		c.Log.Info(logger.EventPrimaryLeaseGained, zap.Duration("without", time.Duration(without)))
	}
}

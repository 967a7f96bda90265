package runner

import (
	"context"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/server"
)

// forwardCancel forwards a cancel request to the host whose number is part of
// its pid.
func (h *EntryHost) forwardCancel(ctx context.Context, pid uint32, secret []byte) {
	for _, other := range h.sub.State().Hosts {
		if other.Number != server.CancelKeyHost(pid) || other.ID == h.Host.ID || other.PeerAddress == "" {
			continue
		}
		found, err := h.cancelAt(ctx, other.PeerAddress, pid, secret)
		if err != nil || !found {
			h.Log.Info(logger.EventCancelNotDelivered, zap.Uint32("pid", pid), zap.String("host", other.ID), zap.String("reason", "the host did not answer or has no such session"), zap.Error(err))
		}
		return
	}
	h.Log.Info(logger.EventCancelNotDelivered, zap.Uint32("pid", pid), zap.Uint32("number", server.CancelKeyHost(pid)), zap.String("reason", "no other host has the number"))
}

// cancelAt sends a cancel request to another host. It reports whether the host has the
// session.
func (h *EntryHost) cancelAt(ctx context.Context, address string, pid uint32, secret []byte) (bool, error) {
	conn, err := h.Linker.Dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	answer, err := messenger.NewDRPCHostsClient(conn).Cancel(ctx, &messenger.CancelRequest{Pid: pid, Secret: secret})
	return answer.GetFound(), err
}

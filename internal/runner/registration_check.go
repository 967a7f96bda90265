package runner

import (
	"context"
	"fmt"
	"maps"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/pauser"
)

// checkRegistration asks all peers whether this host is registered with another
// data directory, and fails if it is. Only a host with a new directory must ask:
// it may have lost a directory that contains a vote. A host that starts as a
// voter waits until all peers have answered, so the first start of a fleet needs
// all its control hosts. A spare waits for more than half of them, since one may
// be the host that it replaces.
func (h *ControlHost) checkRegistration(ctx context.Context) error {
	if !h.Controller.DataDirIsNew() {
		return nil
	}
	requiredAnswers := len(h.Peers)
	if h.IsSpare {
		requiredAnswers = len(h.Peers)/2 + 1
	}
	waiting := maps.Clone(h.Peers)
	for round := 0; ; round++ {
		for id, address := range waiting {
			answer, err := h.announceOnce(ctx, address)
			if err != nil {
				if round == 0 {
					h.Log.Info(logger.EventVoteClearancePending, zap.String("control_host", id), zap.Error(err))
				}
				continue
			}
			if known := answer.GetInstance(); known != "" && known != h.self.Instance {
				return &controller.DataDirMismatchError{ID: h.self.ID, Agreed: known, Found: h.self.Instance}
			}
			delete(waiting, id)
		}
		if len(h.Peers)-len(waiting) >= requiredAnswers {
			return nil
		}
		if err := pauser.Sleep(ctx, peerRetryDelay); err != nil {
			return fmt.Errorf("runner: wait for control hosts: %w", err)
		}
	}
}

// announceOnce announces this host to a peer over a new connection.
func (h *ControlHost) announceOnce(ctx context.Context, address string) (*messenger.ControlHostsAnswer, error) {
	conn, err := h.Linker.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return h.announce(ctx, messenger.NewDRPCPeersClient(conn))
}

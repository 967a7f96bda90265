package runner

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

// peersService serves the RPCs of other control hosts.
type peersService struct {
	controller *controller.Controller
}

// Exchange receives consensus messages until the stream ends.
func (s peersService) Exchange(stream messenger.DRPCPeers_ExchangeStream) error {
	dec, err := zstd.NewReader(nil)
	if err != nil {
		return fmt.Errorf("runner: create decompressor: %w", err)
	}
	defer dec.Close()
	for {
		p, err := stream.Recv()
		if err != nil {
			return nil
		}
		body, err := dec.DecodeAll(p.GetBody(), nil)
		if err != nil {
			return fmt.Errorf("runner: decompress message: %w", err)
		}
		var m elector.Message
		if err := json.Unmarshal(body, &m); err != nil {
			return fmt.Errorf("runner: decode message: %w", err)
		}
		s.controller.HandleMessage(m)
	}
}

// Announce processes the announcement of a control host and returns the
// registered control hosts, even before this host takes part in consensus.
func (s peersService) Announce(_ context.Context, notice *messenger.ControlHostNotice) (*messenger.ControlHostsAnswer, error) {
	var h configurer.ControlHost
	if err := json.Unmarshal(notice.GetHost(), &h); err != nil {
		return nil, fmt.Errorf("runner: decode announcement: %w", err)
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	hosts := s.controller.ControlHosts()
	answer := &messenger.ControlHostsAnswer{Instance: hosts[h.ID].Instance}
	for _, known := range hosts {
		body, err := json.Marshal(known)
		if err != nil {
			return nil, fmt.Errorf("runner: encode control host: %w", err)
		}
		answer.Hosts = append(answer.Hosts, body)
	}
	s.controller.HandleControlHost(h, notice.GetPages())
	return answer, nil
}

// FetchPage returns an archived page of the record.
func (s peersService) FetchPage(_ context.Context, r *messenger.PageRequest) (*messenger.PageAnswer, error) {
	page, err := s.controller.CompressedPage(r.GetNumber())
	if err != nil {
		return nil, err
	}
	return &messenger.PageAnswer{Page: page}, nil
}

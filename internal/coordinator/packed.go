package coordinator

import (
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/attender"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// packed keeps what all entry hosts are told in packed form.
type packed struct {
	configuration, topology, peers, agreedPeers packedValue
}

// packedValue is the newest packed form of one value.
type packedValue struct {
	number uint64
	body   attender.Packed
}

// of returns the packed form of the value with a number, which differs for each
// value.
func (p *packedValue) of(number uint64, v any, log *logger.Logger) attender.Packed {
	if p.body != nil && p.number == number {
		return p.body
	}
	body, err := attender.Pack(v)
	if err != nil {
		// The hosts keep what they know; the next value tries again.
		log.Error(logger.EventControlFailed, zap.Error(err))
		return nil
	}
	p.number, p.body = number, body
	return body
}

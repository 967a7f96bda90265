package coordinator

import (
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/controlclient"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// updateCache caches the compressed parts of updates that are the same for all
// entry hosts.
type updateCache struct {
	configuration, configurationChange, topology, topologyChange, peers, agreedPeers cachedValue
}

// cachedValue is the latest compressed form of one value.
type cachedValue struct {
	key  uint64
	body controlclient.CompressedJSON
}

// compress returns the compressed form of a value. key differs for each value.
func (p *cachedValue) compress(key uint64, v any, log *logger.Logger) controlclient.CompressedJSON {
	if p.body != nil && p.key == key {
		return p.body
	}
	body, err := controlclient.CompressJSON(v)
	if err != nil {
		// The hosts keep their current state; the next value triggers another
		// attempt.
		log.Error(logger.EventControlStateNotStored, zap.Error(err))
		return nil
	}
	p.key, p.body = key, body
	return body
}

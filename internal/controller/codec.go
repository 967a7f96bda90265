package controller

import (
	"encoding/json"
	"fmt"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

func encodeOperation(o planner.Operation) ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("controller: encode operation: %w", err)
	}
	return body, nil
}

func decodeOperation(body []byte) (planner.Operation, error) {
	var o planner.Operation
	if err := json.Unmarshal(body, &o); err != nil {
		return o, fmt.Errorf("controller: decode operation: %w", err)
	}
	return o, nil
}

// encodeChanges converts changes to their protobuf messages.
func encodeChanges(changes []configurer.Change) []*messenger.Change {
	out := make([]*messenger.Change, len(changes))
	for i, c := range changes {
		out[i] = &messenger.Change{Version: c.Version, Kind: string(c.Kind), Id: c.ID, Body: c.Body}
	}
	return out
}

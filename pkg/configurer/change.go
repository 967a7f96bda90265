package configurer

import (
	"encoding/json"
	"fmt"
)

// Kind identifies the type of the entry that a Change contains.
type Kind string

// The kinds of entries.
const (
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindRoute        Kind = "route"
	KindGroup        Kind = "group"
	KindUpstream     Kind = "upstream"
	KindHost         Kind = "host"
	KindObjective    Kind = "objective"
	KindControlHost  Kind = "control_host"
)

// Change stores one entry, or deletes it if Body is nil.
type Change struct {
	Version uint64          `json:"version"`
	Kind    Kind            `json:"kind"`
	ID      string          `json:"id"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Put returns a change that stores an entry. The entry must be one of the
// exported entry structs of this package.
func Put(kind Kind, id string, entry any) (Change, error) {
	body, err := json.Marshal(entry)
	if err != nil {
		return Change{}, fmt.Errorf("configurer: encode %s %s: %w", kind, id, err)
	}
	return Change{Kind: kind, ID: id, Body: body}, nil
}

// Remove returns a change that deletes an entry.
func Remove(kind Kind, id string) Change { return Change{Kind: kind, ID: id} }

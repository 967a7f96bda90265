// Package tracker determines which upstreams of a group are up to date enough for
// a read. It provides causal tokens for sessions, the term history of a group, and
// the minimum position for reads with bounded staleness.
//
// # Usage
//
// A session keeps one CausalToken for each group that it has written to. A
// replica may serve the session if its position includes the token's position:
//
//	if view.Lineage.Includes(replica.Position, token.Position) { ... }
//
// PositionHistory returns the position that a replica must have reached for its
// data to be no older than a maximum age:
//
//	floor, ok := history.Floor(now, 2*time.Second)
//
// The types are not safe for concurrent use. They start no goroutines and take the
// time as an argument.
package tracker

import (
	"fmt"
	"strings"
)

// CausalToken is a session's causal token for one group, the position of its
// last write. Its text form is "group@term/offset".
type CausalToken struct {
	Group    string
	Position Position
}

// String returns the text form, which a client may present to another host.
func (t CausalToken) String() string { return t.Group + "@" + t.Position.String() }

// ParseCausalToken parses the text form that String returns.
func ParseCausalToken(s string) (CausalToken, error) {
	group, pos, ok := strings.Cut(s, "@")
	if !ok || group == "" {
		return CausalToken{}, fmt.Errorf("tracker: parse token %q: want group@term/offset", s)
	}
	p, err := ParsePosition(pos)
	if err != nil {
		return CausalToken{}, err
	}
	return CausalToken{Group: group, Position: p}, nil
}

// Package tracker tells which upstreams of a group hold the data that a
// session must see: causal tokens, the line of terms, and the age of replicas.
//
// # Usage
//
// A session keeps one Token for each group it has written to. A replica may
// serve the session when the line of terms holds the token's position at the
// replica's position:
//
//	if view.Lineage.Holds(replica.Position, token.Position) { ... }
//
// Sampler answers the other question, how old the data of a replica can be:
//
//	floor, ok := sampler.Floor(now, 2*time.Second)
//
// All types are plain state without goroutines or clocks.
package tracker

import (
	"fmt"
	"strings"
)

// Token is the causal token of a session for one group. Its text form is
// "group@term/offset".
type Token struct {
	Group    string
	Position Position
}

// String returns the text form, which a client may carry to another host.
func (t Token) String() string { return t.Group + "@" + t.Position.String() }

// ParseToken reads the form that String writes.
func ParseToken(s string) (Token, error) {
	group, pos, ok := strings.Cut(s, "@")
	if !ok || group == "" {
		return Token{}, fmt.Errorf("tracker: parse token %q: want group@term/offset", s)
	}
	p, err := ParsePosition(pos)
	if err != nil {
		return Token{}, err
	}
	return Token{Group: group, Position: p}, nil
}

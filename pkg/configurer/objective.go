package configurer

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Wildcard is the wildcard for the organisation or the route of an Objective.
const Wildcard = "*"

// Objective is the service level objective (SLO) for the statements of an
// organisation on a route.
type Objective struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Availability is the fraction of the statements within the organisation's
	// rate that must be served, above 0 and below 1.
	Availability float64 `json:"availability"`
	// LatencyMS is the duration in milliseconds above which a served statement
	// counts as bad; zero means no limit.
	LatencyMS uint32 `json:"latency_ms,omitempty"`
}

// DefaultObjective applies where no objective is configured.
var DefaultObjective = Objective{Organisation: Wildcard, Route: Wildcard, Availability: 0.999}

// ObjectiveID returns the id of the objective of an organisation on a route.
func ObjectiveID(organisation, route string) string { return organisation + "/" + route }

// SplitObjectiveID returns the organisation and the route of an objective id.
func SplitObjectiveID(id string) (organisation, route string, err error) {
	organisation, route, ok := strings.Cut(id, "/")
	if !ok || organisation == "" || route == "" {
		return "", "", fmt.Errorf("configurer: objective id %q must have the form organisation/route, with %s for any", id, Wildcard)
	}
	return organisation, route, nil
}

// Validate returns an error if a field is missing or out of range.
func (o Objective) Validate() error {
	if o.Organisation == "" || o.Route == "" {
		return errors.New("configurer: objective needs an organisation and a route")
	}
	if !(o.Availability > 0) || !(o.Availability < 1) {
		return fmt.Errorf("configurer: objective %s: availability must be above 0 and below 1", ObjectiveID(o.Organisation, o.Route))
	}
	return nil
}

// ErrorBudget returns the error budget: the fraction of statements that may be
// bad.
func (o Objective) ErrorBudget() float64 { return 1 - o.Availability }

// IsSlow reports whether a served statement that took d counts as bad.
func (o Objective) IsSlow(d time.Duration) bool {
	return o.LatencyMS > 0 && d > time.Duration(o.LatencyMS)*time.Millisecond
}

// Objective returns the objective that applies to an organisation on a route. An
// objective for the organisation takes precedence over one for the route.
func (s *State) Objective(organisation, route string) Objective {
	if len(s.Objectives) == 0 {
		return DefaultObjective
	}
	for _, id := range []string{
		ObjectiveID(organisation, route), ObjectiveID(organisation, Wildcard),
		ObjectiveID(Wildcard, route), ObjectiveID(Wildcard, Wildcard),
	} {
		if o, ok := s.Objectives[id]; ok {
			return o
		}
	}
	return DefaultObjective
}

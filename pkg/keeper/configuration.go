package keeper

import "time"

// RouteKind says what a route's reads must show.
type RouteKind string

// The kinds of routes.
const (
	// RoutePrimary reads show every acknowledged commit.
	RoutePrimary RouteKind = "primary"
	// RouteBounded reads show every commit older than the route's MaxAge.
	RouteBounded RouteKind = "bounded"
	// RouteOwn reads show also every commit of their own session.
	RouteOwn RouteKind = "own"
)

// Configuration is one version of what operators set, decoded. It is immutable
// once it is shared.
type Configuration struct {
	// Version rises with each accepted configuration; zero means none.
	Version uint64 `json:"version"`
	// Routes are keyed by the name that callers ask for.
	Routes   map[string]Route   `json:"routes"`
	Services map[string]Service `json:"services"`
	// Organisations are keyed by name.
	Organisations map[string]Organisation `json:"organisations"`
	// Keys maps a caller's key to the organisation that holds it.
	Keys map[string]string `json:"keys"`
	// TransactionIdle bounds the pause inside a transaction; zero means none.
	TransactionIdle time.Duration `json:"transaction_idle"`
}

// Route leads callers to a service.
type Route struct {
	Name    string    `json:"name"`
	Service string    `json:"service"`
	Kind    RouteKind `json:"kind"`
	// Timeout bounds one statement.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration `json:"target_latency"`
	// Priority orders routes under load; zero is the highest.
	Priority int `json:"priority"`
	// MaxAge bounds the age of what reads show, for the kinds that allow one.
	MaxAge time.Duration `json:"max_age,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// Service is a replicated database group.
type Service struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections to each upstream, from all hosts.
	MaxConnections int `json:"max_connections"`
	// SyncReplicas is the number of replicas that receive a commit before it is
	// acknowledged.
	SyncReplicas int `json:"sync_replicas,omitempty"`
}

// Organisation has a share of the fleet.
type Organisation struct {
	Name string `json:"name"`
	// Rate is the operations a second, and Burst the operations at once, over
	// all hosts.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Priority orders organisations under load; zero is the highest.
	Priority int `json:"priority"`
}

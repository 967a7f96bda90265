package keeper

import (
	"reflect"
	"time"
)

// ReadConsistency is the read consistency of a route.
type ReadConsistency string

// The read consistency levels.
const (
	// ConsistencyPrimary reads see every acknowledged commit.
	ConsistencyPrimary ReadConsistency = "primary"
	// ConsistencyBounded reads see every commit older than the route's
	// MaxStaleness.
	ConsistencyBounded ReadConsistency = "bounded"
	// ConsistencyReadYourWrites reads also see every commit of their own session.
	ConsistencyReadYourWrites ReadConsistency = "own"
)

// Configuration is one decoded version of the operators' configuration. It must
// not be modified once it is shared.
type Configuration struct {
	// Version increases with each accepted configuration; zero means none.
	Version uint64 `json:"version"`
	// Routes are keyed by the name that callers request.
	Routes   map[string]Route   `json:"routes"`
	Services map[string]Service `json:"services"`
	// Organisations are keyed by name.
	Organisations map[string]Organisation `json:"organisations"`
	// Keys maps a caller's API key to its organisation.
	Keys map[string]string `json:"keys"`
	// TransactionIdleTimeout is the idle timeout inside a transaction; zero
	// disables it.
	TransactionIdleTimeout time.Duration `json:"transaction_idle"`
}

// Route maps a name that callers request to a service and its limits.
type Route struct {
	Name        string          `json:"name"`
	Service     string          `json:"service"`
	Consistency ReadConsistency `json:"kind"`
	// Timeout is the limit for one statement.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration `json:"target_latency"`
	// Priority ranks routes under load; zero is the highest.
	Priority int `json:"priority"`
	// MaxStaleness is the maximum staleness of reads, for the kinds that allow
	// one.
	MaxStaleness time.Duration `json:"max_age,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// PermittedRegions are the regions in which requests may run; empty means all.
	PermittedRegions []string `json:"permitted_regions,omitempty"`
}

// Equal reports whether two routes are the same.
func (r Route) Equal(other Route) bool { return reflect.DeepEqual(r, other) }

// Service is a replicated database group.
type Service struct {
	Name string `json:"name"`
	// MaxConnections limits the connections to each upstream over all hosts.
	MaxConnections int `json:"max_connections"`
	// SyncReplicas is the number of replicas that receive a commit before it is
	// acknowledged.
	SyncReplicas int `json:"sync_replicas,omitempty"`
	// WarmupRate is the number of statements a second that each upstream of the service
	// gets from all hosts together while it is cold; zero means no limit.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// Organisation is a customer with a rate limit over all hosts.
type Organisation struct {
	Name string `json:"name"`
	// Rate is the limit of operations per second over all hosts, Burst the limit
	// of operations at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Priority ranks organisations under load; zero is the highest.
	Priority int `json:"priority"`
	// PermittedRegions are the regions in which requests may run; empty means all.
	PermittedRegions []string `json:"permitted_regions,omitempty"`
}

// Equal reports whether two organisations are the same.
func (o Organisation) Equal(other Organisation) bool { return reflect.DeepEqual(o, other) }

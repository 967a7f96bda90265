// Package delayer delays and cuts loopback connections, so that processes on one
// machine see the latencies, the bandwidth and the partitions of several data
// centres.
//
// # Usage
//
//	n := &delayer.Network{Latency: latency, LinkBits: 30e6}
//	n.Place("127.0.0.1:7001", "regina-a")
//	dial := n.Dialer("winnipeg-a")
//	conn, err := dial(ctx, "tcp", "127.0.0.1:7001")
//	n.Cut("regina-a", "winnipeg-a")
//	n.Heal()
package delayer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

// Network knows where addresses are. Exported fields are set before use.
type Network struct {
	// Latency returns the one-way latency between two places.
	Latency func(a, b string) time.Duration
	// IsLink reports whether traffic between two places uses the slow link.
	IsLink func(a, b string) bool
	// LinkBits is the bandwidth of the slow link each way, in bits a second;
	// zero means no bound.
	LinkBits float64

	mu        sync.Mutex
	places    map[string]string
	cuts      map[[2]string]bool
	healed    chan struct{}
	linkFree  map[string]time.Time
	linkBytes int64
}

// Place records where an address is.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[string]string{}
	}
	n.places[address] = place
}

// Cut stops all traffic between two places, in both directions and without a
// sign, until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[[2]string]bool{}
	}
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
	if n.healed == nil {
		n.healed = make(chan struct{})
	}
}

// Heal ends all cuts. Data sent meanwhile arrives then, as TCP repeats it.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
}

// LinkBytes returns the bytes that crossed the slow link.
func (n *Network) LinkBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkBytes
}

// waitUncut waits until the places can reach each other.
func (n *Network) waitUncut(ctx context.Context, a, b string) error {
	for {
		n.mu.Lock()
		cut, healed := n.cuts[[2]string{a, b}], n.healed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// due returns when data sent now from a arrives at b.
func (n *Network) due(a, b string, bytes int) time.Time {
	now := time.Now()
	at := now.Add(n.Latency(a, b))
	if n.IsLink == nil || !n.IsLink(a, b) {
		return at
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkBytes += int64(bytes)
	if n.LinkBits <= 0 {
		return at
	}
	if n.linkFree == nil {
		n.linkFree = map[string]time.Time{}
	}
	free := n.linkFree[a]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(float64(bytes*8) / n.LinkBits * float64(time.Second)))
	n.linkFree[a] = free
	return free.Add(n.Latency(a, b))
}

// Dialer returns a dial function for processes at a place.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to, ok := n.places[address]
		n.mu.Unlock()
		if !ok {
			to = place
		}
		if err := n.waitUncut(ctx, place, to); err != nil {
			return nil, err
		}
		if err := pauser.Pause(ctx, 2*n.Latency(place, to)); err != nil {
			return nil, err
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(conn, place, to), nil
	}
}

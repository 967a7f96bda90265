// Package delayer emulates a network on loopback connections: the latency, bandwidth
// and partitions between several data centres, for processes on one machine.
//
// # Usage
//
//	n := &delayer.Network{Latency: latency, LinkBandwidth: 30e6}
//	n.SetPlace("127.0.0.1:7001", "regina-a")
//	dial := n.Dialer("winnipeg-a")
//	conn, err := dial(ctx, "tcp", "127.0.0.1:7001")
//	n.Partition("regina-a", "winnipeg-a")
//	n.Heal()
package delayer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

// Network emulates the network between places. Exported fields are set before use.
type Network struct {
	// Latency returns the one-way latency between two places.
	Latency func(a, b string) time.Duration
	// IsSlowLink reports whether traffic between two places crosses the slow
	// link; nil means that none does.
	IsSlowLink func(a, b string) bool
	// LinkBandwidth is the bandwidth of the slow link in each direction, in
	// bits per second; zero means unlimited.
	LinkBandwidth float64

	mu         sync.Mutex
	places     map[string]string
	cuts       map[[2]string]bool
	healed     chan struct{}
	linkFreeAt map[string]time.Time
	linkBytes  int64
}

// SetPlace sets the place of an address.
func (n *Network) SetPlace(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[string]string{}
	}
	n.places[address] = place
}

// Partition partitions two places from each other until Heal: data is held in
// both directions, without an error.
func (n *Network) Partition(a, b string) {
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

// Heal ends all partitions. Data sent in the meantime is then delivered, as TCP
// would by retransmission.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
}

// LinkBytes returns the number of bytes sent over the slow link.
func (n *Network) LinkBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkBytes
}

// waitReachable waits until the two places can reach each other.
func (n *Network) waitReachable(ctx context.Context, a, b string) error {
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

// deliveryTime returns the time at which data sent now from a arrives at b.
func (n *Network) deliveryTime(a, b string, bytes int) time.Time {
	now := time.Now()
	at := now.Add(n.Latency(a, b))
	if n.IsSlowLink == nil || !n.IsSlowLink(a, b) {
		return at
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkBytes += int64(bytes)
	if n.LinkBandwidth <= 0 {
		return at
	}
	if n.linkFreeAt == nil {
		n.linkFreeAt = map[string]time.Time{}
	}
	free := n.linkFreeAt[a]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(float64(bytes*8) / n.LinkBandwidth * float64(time.Second)))
	n.linkFreeAt[a] = free
	return free.Add(n.Latency(a, b))
}

// Dialer returns a dial function for processes at a place. Addresses without a
// place are taken to be local.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to, ok := n.places[address]
		n.mu.Unlock()
		if !ok {
			to = place
		}
		if err := n.waitReachable(ctx, place, to); err != nil {
			return nil, err
		}
		if err := pauser.Sleep(ctx, 2*n.Latency(place, to)); err != nil {
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

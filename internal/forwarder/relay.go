package forwarder

import (
	"net"
	"sync"
)

const (
	// smallBytes is what a relay holds for each direction while it is idle.
	smallBytes = 512
	// bulkBytes is the length of the buffers for large messages.
	bulkBytes = 16 << 10
)

// buffers are lent to relays that carry large messages.
var buffers = sync.Pool{New: func() any { return new([bulkBytes]byte) }}

// Relay carries bytes both ways until either connection ends, and closes both.
func Relay(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); carry(a, b) }()
	go func() { defer wg.Done(); carry(b, a) }()
	wg.Wait()
}

// carry copies from one connection to the other.
func carry(from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	small := make([]byte, smallBytes)
	for {
		n, ok := pass(from, to, small)
		if ok && n == len(small) {
			ok = carryBulk(from, to)
		}
		if !ok {
			return
		}
	}
}

// carryBulk copies with a large buffer until a read does not fill it.
func carryBulk(from, to net.Conn) bool {
	buffer, ok := buffers.Get().(*[bulkBytes]byte)
	if !ok {
		return false
	}
	defer buffers.Put(buffer)
	for {
		n, ok := pass(from, to, buffer[:])
		if !ok || n < len(buffer) {
			return ok
		}
	}
}

// pass reads once and writes what was read. It reports whether both connections
// stand.
func pass(from, to net.Conn, buffer []byte) (n int, ok bool) {
	n, err := from.Read(buffer)
	if n > 0 {
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return n, false
		}
	}
	return n, err == nil
}

package forwarder

import (
	"net"
	"sync"
)

const (
	// smallBytes is the size of the buffer that an idle relay keeps for each
	// direction.
	smallBytes = 512
	// bulkBytes is the size of the shared buffers for large messages.
	bulkBytes = 16 << 10
)

// bulkBuffers is a pool of buffers for relays with large messages.
var bulkBuffers = sync.Pool{New: func() any { return new([bulkBytes]byte) }}

// Relay copies data in both directions until either connection ends, and closes
// both.
func Relay(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); copyOneWay(a, b) }()
	go func() { defer wg.Done(); copyOneWay(b, a) }()
	wg.Wait()
}

// copyOneWay copies from one connection to the other until either ends, and closes
// both.
func copyOneWay(from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	small := make([]byte, smallBytes)
	for {
		n, ok := copyOnce(from, to, small)
		if ok && n == len(small) {
			ok = copyBulk(from, to)
		}
		if !ok {
			return
		}
	}
}

// copyBulk copies with a large buffer until a read does not fill it. It reports
// whether both connections are still open.
func copyBulk(from, to net.Conn) bool {
	buffer, ok := bulkBuffers.Get().(*[bulkBytes]byte)
	if !ok {
		return false
	}
	defer bulkBuffers.Put(buffer)
	for {
		n, ok := copyOnce(from, to, buffer[:])
		if !ok || n < len(buffer) {
			return ok
		}
	}
}

// copyOnce reads once and writes what was read. It reports whether both
// connections are still open.
func copyOnce(from, to net.Conn, buffer []byte) (n int, ok bool) {
	n, err := from.Read(buffer)
	if n > 0 {
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return n, false
		}
	}
	return n, err == nil
}

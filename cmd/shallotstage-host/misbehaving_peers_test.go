package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"storj.io/drpc/drpcwire"
)

// A control host takes configurations of up to 16 MiB. Several are sent at once, each
// without its last byte.
func TestControlHostGetsManyLargeBodies(t *testing.T) {
	f := startLimitedFleet(t)
	const size = 15 << 20
	body := bytes.Repeat([]byte(" "), size-1)
	f.check(f.controls[0], func() {
		f.misbehave(16, f.address(f.controls[0].ip, portControl), func(_ int, conn net.Conn) {
			if send(conn, fmt.Appendf(nil, "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n", size)) == nil {
				_ = send(conn, body)
			}
		})
	})
}

// Announcements need no key. Many are sent without their last byte, and with headers as
// large as the process reads.
func TestControlHostGetsManyLargeHeaders(t *testing.T) {
	f := startLimitedFleet(t)
	filler := bytes.Repeat([]byte("x"), 1000<<10)
	f.check(f.controls[0], func() {
		f.misbehave(160, f.address(f.controls[0].ip, portControl), func(i int, conn net.Conn) {
			if i%2 == 0 {
				if send(conn, []byte("PUT /instances/i-9 HTTP/1.1\r\nHost: c\r\nX-Filler: ")) == nil {
					_ = send(conn, filler)
				}
				return
			}
			if send(conn, []byte("PUT /instances/i-9 HTTP/1.1\r\nHost: c\r\nContent-Length: 65536\r\n\r\n")) == nil {
				_ = send(conn, filler[:65535])
			}
		})
	})
}

// More connections than a control host has descriptors for, at each of its listeners.
func TestControlHostGetsManyConnections(t *testing.T) {
	for _, port := range []int{portControl, portPeer, portMetrics} {
		t.Run(portNames[port], func(t *testing.T) {
			f := startLimitedFleet(t)
			f.check(f.controls[0], func() {
				f.misbehave(900, f.address(f.controls[0].ip, port), func(_ int, conn net.Conn) { _ = send(conn, []byte("P")) })
			})
		})
	}
}

var portNames = map[int]string{portPeer: "link", portMetrics: "metrics", portControl: "control", portCaller: "callers", portReady: "readiness"}

// A call between hosts may have 32 MiB. Several are sent at once, each without its last
// byte.
func TestControlHostGetsManyLargeCalls(t *testing.T) {
	f := startLimitedFleet(t)
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: bytes.Repeat([]byte("x"), 30<<20), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
	f.check(f.controls[0], func() {
		f.misbehave(10, f.address(f.controls[0].ip, portPeer), func(_ int, conn net.Conn) { _ = send(conn, frame[:len(frame)-1]) })
	})
}

// A stream between entry hosts begins with a header of up to 2 MiB. Many streams of few
// connections are opened, each without the last byte of its header.
func TestEntryHostGetsManyLargeStreams(t *testing.T) {
	f := startLimitedFleet(t)
	header := binary.BigEndian.AppendUint32(nil, 1900<<10)
	header = append(header, bytes.Repeat([]byte("x"), 1900<<10-1)...)
	f.check(f.entry, func() {
		f.misbehave(4, f.address(f.entry.ip, portPeer), func(_ int, conn net.Conn) {
			config := yamux.DefaultConfig()
			config.LogOutput = io.Discard
			mux, err := yamux.Client(conn, config)
			if err != nil {
				return
			}
			sent := make(chan struct{})
			const streams = 40
			for range streams {
				go func() {
					defer func() { sent <- struct{}{} }()
					if stream, err := mux.OpenStream(); err == nil {
						_ = send(stream, header)
					}
				}()
			}
			for range streams {
				<-sent
			}
		})
	})
}

// More connections than an entry host has descriptors for, at each of its listeners that
// is not the callers'.
func TestEntryHostGetsManyConnections(t *testing.T) {
	for _, port := range []int{portPeer, portMetrics, portReady} {
		t.Run(portNames[port], func(t *testing.T) {
			f := startLimitedFleet(t)
			f.check(f.entry, func() {
				f.misbehave(900, f.address(f.entry.ip, port), func(_ int, conn net.Conn) { _ = send(conn, []byte("G")) })
			})
		})
	}
}

// Requests for metrics and readiness need no key. Many are sent with headers as large as
// the process reads.
func TestEntryHostGetsManyLargeHeaders(t *testing.T) {
	f := startLimitedFleet(t)
	filler := bytes.Repeat([]byte("x"), 1000<<10)
	f.check(f.entry, func() {
		f.misbehave(160, f.address(f.entry.ip, portMetrics), func(i int, conn net.Conn) {
			if i%2 == 0 {
				if conn = f.join(f.address(f.entry.ip, portReady)); conn == nil {
					return
				}
			}
			if send(conn, []byte("GET /metrics HTTP/1.1\r\nHost: e\r\nX-Filler: ")) == nil {
				_ = send(conn, filler)
			}
		})
	})
}

// Requests for metrics are sent ahead, and no answer is read.
func TestEntryHostGetsManyRequestsForMetricsWithoutReading(t *testing.T) {
	f := startLimitedFleet(t)
	ahead := bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n"), 4000)
	f.check(f.entry, func() {
		f.misbehave(100, f.address(f.entry.ip, portMetrics), func(_ int, conn net.Conn) {
			shrinkReceiveBuffer(conn)
			_ = send(conn, ahead)
		})
	})
}

// An upstream sends rows without end to as many callers as it has slots for.
func TestUpstreamThatSendsWithoutEnd(t *testing.T) {
	f := startLimitedFleet(t)
	f.check(f.entry, func() {
		f.misbehave(40, f.callers(), func(_ int, conn net.Conn) {
			if openSession(conn) != nil {
				requestLarge(conn, "QUERY c1 "+readEndless+"\r\n")
			}
		})
	})
}

// An upstream does not answer, and the statements that wait for it are large.
func TestUpstreamThatNeverAnswers(t *testing.T) {
	f := startLimitedFleet(t)
	message := statement(readUnanswered, legalBytes)
	f.check(f.entry, func() {
		f.misbehave(160, f.callers(), func(_ int, conn net.Conn) {
			if openSession(conn) != nil {
				_ = send(conn, message)
			}
		})
	})
}

package controller

import "github.com/shallotstage/shallotstage/internal/messenger"

// hostConn is the connection of an entry host to this leader.
type hostConn struct {
	host        string
	incarnation uint64
	out         chan *messenger.ControlOrder
	stop        func()
	sentVersion uint64
}

// enqueue queues an order and reports whether the queue had room for it.
func (hc *hostConn) enqueue(o *messenger.ControlOrder) bool {
	select {
	case hc.out <- o:
		return true
	default:
		return false
	}
}

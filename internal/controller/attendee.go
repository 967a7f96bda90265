package controller

import "github.com/shallotstage/shallotstage/internal/messenger"

// attendee is an entry host that attends this leader.
type attendee struct {
	host        string
	incarnation uint64
	out         chan *messenger.ControlOrder
	stop        func()
	sentVersion uint64
}

// send queues an order and reports whether there was room.
func (a *attendee) send(o *messenger.ControlOrder) bool {
	select {
	case a.out <- o:
		return true
	default:
		return false
	}
}

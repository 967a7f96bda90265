package scheduler

// account holds the attained service and the waiters of one organisation.
type account struct {
	organisation string
	// service is the attained service in seconds of virtual time.
	service float64
	waiters []*Waiter
	index   int
}

// accountHeap orders accounts by attained service, then by name.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].service != h[j].service {
		return h[i].service < h[j].service
	}
	return h[i].organisation < h[j].organisation
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	n := len(old)
	a := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	a.index = -1
	return a
}

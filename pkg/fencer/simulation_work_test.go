package fencer

import "fmt"

func (s *simulation) begin(h *simHost) {
	if s.now < h.frozen || len(h.work) > 4 || !h.holder.Valid(s.clock()) {
		return
	}
	target := h.topology.primary
	if h.topology.handOver != nil {
		target = h.topology.candidate
	}
	if use, ok := h.gate.Begin("s", target, s.clock()); ok {
		h.work = append(h.work, &simWork{use: use, upstream: target, write: s.rnd.IntN(2) == 0, startedAt: s.now})
	}
}

// execute lets upstreams carry out a host's work. That goes on while the host is frozen.
func (s *simulation) execute(h *simHost) {
	for _, w := range h.work {
		u := s.upstreams[w.upstream]
		if w.done || !u.leads {
			continue
		}
		w.done, w.doneAt = true, s.now
		if w.write {
			s.nextID++
			w.id = s.nextID
			u.log = append(u.log, w.id)
			continue
		}
		w.log = append([]int(nil), u.log...)
	}
}

func (s *simulation) finish(h *simHost) {
	if s.now < h.frozen || len(h.work) == 0 {
		return
	}
	w := h.work[0]
	h.work = h.work[1:]
	valid := (s.fault == faultNoLease || h.holder.Valid(s.clock())) && (s.fault == faultNoGate || h.gate.MayAcknowledge(w.use))
	h.gate.End(w.use)
	if !w.done || !valid {
		return
	}
	if w.write {
		s.acknowledged[w.id] = s.now
		if u := s.upstreams[w.upstream]; w.doneAt >= s.lastEffect && u.promotedAt < s.lastEffect {
			s.failure = fmt.Sprintf("write %d at %s was acknowledged, committed at %s after another was promoted at %s", w.id, w.upstream, w.doneAt, s.lastEffect)
		}
		return
	}
	read := map[int]bool{}
	for _, id := range w.log {
		read[id] = true
	}
	for id, at := range s.acknowledged {
		if at < w.startedAt && !read[id] && s.isKept(id) {
			s.failure = fmt.Sprintf("a read at %s lacks write %d, acknowledged at %s before it began at %s", w.upstream, id, at, w.startedAt)
		}
	}
}

// isKept reports whether the latest primary holds a write: no promotion rolled it back.
func (s *simulation) isKept(id int) bool {
	for _, u := range s.upstreams {
		if !u.leads || u.promotedAt != s.lastEffect {
			continue
		}
		for _, other := range u.log {
			if other == id {
				return true
			}
		}
	}
	return false
}

// run plays one schedule and returns what went wrong, or an empty string.
func (s *simulation) run() string {
	for range simSteps {
		if s.step(); s.failure != "" {
			return s.failure
		}
	}
	return ""
}

package elector

import (
	"slices"
	"strings"
)

func (s *schedule) crash() {
	if s.rnd.IntN(10) == 0 {
		s.tracef("all hosts crash and restart")
		for _, id := range s.ids {
			s.start(s.members[id], Membership{Voters: s.ids[:len(s.ids)-1]})
		}
		return
	}
	down := 0
	for _, m := range s.members {
		if !m.up {
			down++
		}
	}
	if m := s.randomMember(); m.up && down < 2 {
		s.tracef("%s crashes at term %d", m.id, m.e.Term())
		m.up = false
		if s.rnd.IntN(2) == 0 {
			s.restart()
		}
	}
}

func (s *schedule) restart() {
	for _, id := range s.ids {
		if m := s.members[id]; !m.up {
			s.tracef("%s restarts", id)
			s.start(m, Membership{Voters: s.ids[:len(s.ids)-1]})
			return
		}
	}
}

// pause pauses a random host. If one is already paused, it resumes that host
// instead.
func (s *schedule) pause() {
	m := s.randomMember()
	for _, other := range s.members {
		if other.paused {
			m = other
		}
	}
	m.paused = !m.paused
	s.tracef("%s paused=%t", m.id, m.paused)
}

func (s *schedule) isolate() {
	clear(s.isolated)
	if s.rnd.IntN(2) == 0 {
		m := s.randomMember()
		s.isolated[m.id] = true
		s.tracef("%s is isolated", m.id)
	}
}

func (s *schedule) changeMembership() {
	for _, id := range s.ids {
		m := s.members[id]
		if !m.up || m.e.Role() != RoleLeader {
			continue
		}
		next := m.e.Membership()
		target := s.ids[s.rnd.IntN(len(s.ids))]
		if i := slices.Index(next.Voters, target); i >= 0 && len(next.Voters) > 2 {
			next.Voters = slices.Delete(next.Voters, i, i+1)
		} else if i < 0 {
			next.Voters = append(next.Voters, target)
		}
		if m.e.ChangeMembership(next) == nil {
			s.tracef("%s proposes voters %v", m.id, next.Voters)
		}
		s.processOutput(m)
	}
}

func (s *schedule) compact() {
	m := s.randomMember()
	if !m.up || m.appliedIndex <= m.disk.snapshot.Index {
		return
	}
	m.e.Compact(m.appliedIndex, []byte(strings.Join(m.applied, ",")))
	s.processOutput(m)
}

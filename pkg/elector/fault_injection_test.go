package elector

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// injectedFault is a deliberate fault in the simulated hosts, which shows that
// the checks detect it.
type injectedFault string

const (
	faultNone         injectedFault = ""
	faultVoteNoSync   injectedFault = "vote without sync"
	faultEntryNoSync  injectedFault = "entries acknowledged without sync"
	faultNoStickiness injectedFault = "voters ignore the last leader contact"
	faultEarlyStored  injectedFault = "saves are reported before they are over"
	faultEarlySend    injectedFault = "messages are sent before the term and the vote are stored"
	faultEarlyCount   injectedFault = "a leader counts entries that it has not stored"
	faultEarlyAck     injectedFault = "a follower acknowledges entries that it has not stored"
)

// injectFault makes a host take unstored state for stored.
func (s *schedule) injectFault(m *member) {
	switch {
	case s.injectedFault == faultEarlySend:
		for _, h := range m.e.held {
			m.e.out.Messages = append(m.e.out.Messages, h.Message)
		}
		m.e.held = nil
	case s.injectedFault == faultEarlyCount && m.e.role == RoleLeader, s.injectedFault == faultEarlyAck && m.e.role == RoleFollower:
		m.e.log.stable = m.e.log.last()
		m.e.advanceCommit()
	}
}

func TestExplorationFindsInjectedFaults(t *testing.T) {
	for _, fault := range []injectedFault{faultVoteNoSync, faultEntryNoSync, faultNoStickiness, faultEarlyStored, faultEarlySend, faultEarlyCount, faultEarlyAck} {
		t.Run(string(fault), func(t *testing.T) {
			found := 0
			for seed := uint64(1); seed <= 400 && found == 0; seed++ {
				if failure, _ := explore(seed, fault); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					found++
				}
			}
			qt.Assert(t, found, qt.Not(qt.Equals), 0)
		})
	}
}

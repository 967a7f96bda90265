package server

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
)

const (
	// hostBits is the number of bits in the process id of a cancel key that
	// hold the host number. The process id stays positive as a signed 32-bit
	// integer.
	hostBits = 11
	pidBits  = 31 - hostBits
	// secretBytes is the length of the secret in a cancel key.
	secretBytes = 4
)

// sessionSet holds the open sessions, indexed by the process id of their cancel
// key.
type sessionSet struct {
	mu   sync.Mutex
	next uint32
	byID map[uint32]*session
}

// add registers a session and assigns it a cancel key.
func (t *sessionSet) add(s *session, host uint32) error {
	s.secret = make([]byte, secretBytes)
	if _, err := rand.Read(s.secret); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[uint32]*session{}
	}
	for {
		t.next++
		s.pid = host<<pidBits | t.next&(1<<pidBits-1)
		if t.byID[s.pid] == nil {
			break
		}
	}
	t.byID[s.pid] = s
	return nil
}

func (t *sessionSet) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[s.pid] == s {
		delete(t.byID, s.pid)
	}
}

// find returns the session that has the cancel key, or nil.
func (t *sessionSet) find(pid uint32, secret []byte) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[pid]
	if s == nil || subtle.ConstantTimeCompare(s.secret, secret) != 1 {
		return nil
	}
	return s
}

func (t *sessionSet) each(f func(*session)) {
	t.mu.Lock()
	all := make([]*session, 0, len(t.byID))
	for _, s := range t.byID {
		all = append(all, s)
	}
	t.mu.Unlock()
	for _, s := range all {
		f(s)
	}
}

func (t *sessionSet) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

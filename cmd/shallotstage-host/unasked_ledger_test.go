package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// strictStatement is a statement as a client sent it.
type strictStatement struct {
	text, service string
	// key is the client's key. An upstream's statement has none.
	key string
	at  time.Time
	// inTransaction is true if the client sent it within a transaction.
	inTransaction bool
	// shape is the access and shape of an EXECUTE.
	shape string
}

// strictLedger holds what clients sent and what upstreams ran, by the ids of the statements.
type strictLedger struct {
	mu         sync.Mutex
	sent       map[string][]strictStatement
	holders    map[string][]holder
	ran        int
	violations []string
	// foreign are the successes without the signature of their statement.
	foreign []string
}

// noteForeign records a success without the signature of its statement.
func (l *strictLedger) noteForeign(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = append(l.foreign, what)
}

// holder is an organisation that holds a key from the sending of a configuration on, and until
// the acknowledgement of the next one.
type holder struct {
	organisation     string
	sent, supplanted time.Time
}

// moveKey records that a key passes to an organisation with a configuration that is about to be
// sent.
func (l *strictLedger) moveKey(key, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[key] = append(l.holders[key], holder{organisation: organisation, sent: time.Now()})
}

// keyMoved records that the configuration was acknowledged.
func (l *strictLedger) keyMoved(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range len(l.holders[key]) - 1 {
		if h := &l.holders[key][i]; h.supplanted.IsZero() {
			h.supplanted = time.Now()
		}
	}
}

// configApply is within what a configuration must be in force after its acknowledgement.
const configApply = 4 * time.Second

// mayRunFor reports whether a statement may run for an organisation.
func (l *strictLedger) mayRunFor(s strictStatement, organisation string) bool {
	for _, h := range l.holders[s.key] {
		if h.organisation == organisation && (h.supplanted.IsZero() || s.at.Before(h.supplanted.Add(configApply))) {
			return true
		}
	}
	return false
}

// record records a statement before it is sent.
func (l *strictLedger) record(id string, s strictStatement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = append(l.sent[id], s)
}

func (l *strictLedger) addViolation(format string, arguments ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// counts returns the number of statements that clients sent and that upstreams ran.
func (l *strictLedger) counts() (sent, ran, violations int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sent {
		sent += len(s)
	}
	return sent, l.ran, len(l.violations)
}

// ownTexts are the first words of the statements that the system itself may send.
var ownTexts = map[string]bool{"BEGIN": true, "ROLLBACK": true, "RESET": true, "SET": true, "PREPARE": true, "CLOSE": true, "STATUS": true, "DEMOTE": true, "PAUSE": true, "RESUME": true}

// check compares a statement that an upstream got with what clients sent.
func (l *strictLedger) check(c *strictConn, id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if id == placeholderID {
		if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
			_, word, _ = strings.Cut(tail, " ")
			if word != "BEGIN" && word != "BEGIN READ" {
				l.addViolation("own statement with a position: %.200q", text)
			}
		} else if !ownTexts[word] {
			l.addViolation("own statement %.200q", text)
		}
		return
	}
	l.ran++
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(tail, " ")
		if word, rest, _ = strings.Cut(text, " "); word != "READ" {
			l.addViolation("%s has a position before %.200q", id, text)
		}
	}
	got := strictStatement{text: text, service: c.service, inTransaction: c.inTransaction}
	if word == "EXECUTE" {
		name, arguments, found := strings.Cut(rest, " ")
		got.text, got.shape = "EXECUTE "+arguments, c.prepared[name]
		if !found {
			got.text = "EXECUTE"
		}
	}
	if word == "COMMIT" {
		for _, other := range c.writeIDs {
			if other != id {
				l.addViolation("%s commits the write of %s", id, other)
			}
		}
	}
	for _, want := range l.sent[id] {
		if !l.mayRunFor(want, c.organisation) {
			continue
		}
		want.key, want.at = "", time.Time{}
		if word == "READ" || strings.HasPrefix(got.shape, "READ") {
			// A read of its own may be wrapped in a transaction of the system.
			want.inTransaction = got.inTransaction
		}
		if want == got {
			return
		}
	}
	l.addViolation("%.60s: ran %.300q for %s at %s, sent %.600q", id, fmt.Sprint(got), c.organisation, c.service, fmt.Sprint(l.sent[id]))
}

const placeholderID = "-"

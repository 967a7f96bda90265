package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// ledger records both sides of a fleet: what callers sent and were answered, and what
// upstreams received, ran and committed.
type ledger struct {
	mu sync.Mutex
	// runs are the upstreams' runs by signature, sent the callers' statements by id.
	runs map[string]*statementRun
	sent map[string]*sentStatement
	// commits counts the commits of each write.
	commits map[string]int
	lines   []receivedLine
	// settings are the SET and PREPARE texts without names that callers sent.
	settings map[string]bool
	// holders are the spans of time in which organisations may be taken for a key's, by key.
	holders map[string][]holding
	// public are the databases whose routes need no key.
	public map[string]bool
	// acknowledged is the number of commits that callers know of, by service.
	acknowledged map[string]int
	repeats      int
	// served counts the successes, confirmed those with the answer of their own run.
	served, confirmed int
	refused           map[string]int
	// violations counts broken rules, examples holds the first of each.
	violations map[string]int
	examples   map[string][]string
}

// maxLinesBefore bounds the lines of a connection in an example.
const maxLinesBefore = 6

// maxExamples bounds the examples of a broken rule that are kept.
const maxExamples = 6

func newLedger() *ledger {
	return &ledger{
		runs: map[string]*statementRun{}, sent: map[string]*sentStatement{}, commits: map[string]int{}, settings: map[string]bool{},
		holders: map[string][]holding{}, public: map[string]bool{}, acknowledged: map[string]int{}, refused: map[string]int{}, violations: map[string]int{}, examples: map[string][]string{},
	}
}

// statementRun is the run of a statement at an upstream.
type statementRun struct {
	id, text string
	rows     []string
	at       time.Time
	// conn is the connection, transaction the transaction on it; empty outside transactions.
	conn, transaction string
	values, shape     string
	// visible is the number of commits of the service that the run saw.
	service string
	visible int
	// committed is true if the run ended with a commit of writes.
	committed bool
}

// receivedLine is a QUERY line that an upstream received.
type receivedLine struct {
	at                     time.Time
	id, text, organisation string
	// conn is the connection, answer the answer as the upstream meant it.
	conn, answer string
}

// operation is a caller's statement or transaction.
type operation struct {
	transaction, commitSent bool
	// promise is a code that promised that nothing of the operation is kept.
	promise string
	// floors are the numbers of commits that its reads must see, by service.
	floors map[string]int
}

// sentStatement is a statement that a caller sent, with its answer.
type sentStatement struct {
	id, text, key, database string
	at                      time.Time
	op                      *operation
	values, shape           string
	completed               bool
	signature               string
	rows                    []string
}

// holding is a span of time in which an organisation may be taken for the holder of a key.
// A zero end is open.
type holding struct {
	organisation string
	from, until  time.Time
}

func (l *ledger) addViolation(rule, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(rule, format, arguments...)
}

// violate is addViolation for callers that hold the lock.
func (l *ledger) violate(rule, format string, arguments ...any) {
	l.violations[rule]++
	if len(l.examples[rule]) < maxExamples {
		l.examples[rule] = append(l.examples[rule], fmt.Sprintf("%.1200s", fmt.Sprintf(format, arguments...)))
	}
}

func (l *ledger) addLine(line receivedLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *ledger) addRun(signature string, r *statementRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[signature] = r
}

func (l *ledger) addCommit(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.commits[id]++
	}
}

// acknowledgeCommit records that a caller was told of a commit. It returns its service and the
// number of commits up to it, or zero if the signature is not that of the statement or nothing
// was written.
func (l *ledger) acknowledgeCommit(id, signature string) (service string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[signature]
	if r == nil || r.id != id || !r.committed {
		return "", 0
	}
	l.acknowledged[r.service] = max(l.acknowledged[r.service], r.visible)
	return r.service, r.visible
}

// acknowledgedCommits returns the numbers of commits that callers know of, by service.
func (l *ledger) acknowledgedCommits() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.acknowledged)
}

// setPromise records that a caller was promised that nothing of its operation is kept.
func (l *ledger) setPromise(op *operation, code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op.promise = code
}

// countAnswer counts the answer to a statement by its code.
func (l *ledger) countAnswer(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if code == "" {
		l.served++
		return
	}
	l.refused[code]++
}

func (l *ledger) countRepeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats++
}

// addSent records a statement before its last byte is sent.
func (l *ledger) addSent(q *sentStatement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[q.id] = q
	if q.text == "COMMIT" {
		q.op.commitSent = true
	}
	verb, arguments, _ := strings.Cut(q.text, " ")
	switch verb {
	case "SET":
		l.settings[q.text] = true
	case "PREPARE":
		_, shape, _ := strings.Cut(arguments, " ")
		l.settings["PREPARE "+shape] = true
	}
}

// judge compares both sides. It must be called when nothing is in progress.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		l.judgeLine(line)
	}
	users := map[string]*operation{}
	homes := map[*operation]string{}
	for _, q := range l.sent {
		if q.completed {
			l.judgeAnswer(q, users, homes)
		}
	}
	for id, n := range l.commits {
		l.judgeCommit(id, n)
	}
}

// judgeLine checks that a line of an upstream was sent by a caller or is one that hosts
// may send themselves.
func (l *ledger) judgeLine(line receivedLine) {
	text, q := line.text, l.sent[line.id]
	if tail, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(tail, " ")
		if !strings.HasPrefix(text, "BEGIN") && !strings.HasPrefix(text, "READ ") && (q == nil || !strings.HasPrefix(q.shape, "READ ")) {
			l.violate("UNASKED", "a host put AFTER before a statement that does not read: %s %q", line.id, line.text)
		}
	}
	if line.id == "-" {
		if !l.mayIssue(text) {
			l.violate("UNASKED", "a host sent %q", line.text)
		}
		return
	}
	switch {
	case q == nil:
		l.violate("UNASKED", "no caller sent %s %q", line.id, line.text)
	case withoutName(text) != withoutName(q.text):
		l.violate("UNASKED", "%s was sent as %q and arrived as %q", line.id, q.text, line.text)
	default:
		l.judgeHolder(q, line)
	}
}

// mayIssue reports whether hosts may send a statement of their own.
func (l *ledger) mayIssue(text string) bool {
	verb, arguments, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		return arguments == "" || arguments == "READ"
	case "ROLLBACK", "RESET", "STATUS", "RESUME":
		return arguments == ""
	case "DEMOTE", "PAUSE":
		return arguments != ""
	case "SET":
		return l.settings[text]
	case "PREPARE":
		_, shape, _ := strings.Cut(arguments, " ")
		return l.settings["PREPARE "+shape]
	}
	return false
}

// judgeHolder checks that a statement arrived for an organisation that may be taken for the
// holder of its key.
func (l *ledger) judgeHolder(q *sentStatement, line receivedLine) {
	if l.public[q.database] && line.organisation == publicOrganisation {
		return
	}
	former := false
	for _, h := range l.holders[q.key] {
		if h.organisation != line.organisation || line.at.Before(h.from) {
			continue
		}
		if h.until.IsZero() || q.at.Before(h.until) {
			return
		}
		former = true
	}
	if former {
		l.violate("CONFIG", "%s of key %s arrived for its former organisation %q", q.id, q.key, line.organisation)
		return
	}
	l.violate("UNASKED", "%s of key %s arrived for organisation %q", q.id, q.key, line.organisation)
}

// judgeAnswer checks a success. users are the operations by the transaction in which they
// ran, homes the transactions by operation.
func (l *ledger) judgeAnswer(q *sentStatement, users map[string]*operation, homes map[*operation]string) {
	if !isForwarded(q.text) {
		if q.signature != "-" || len(q.rows) > 0 {
			l.violate("MIXED", "%s %q was answered with rows %q and signature %s", q.id, q.text, q.rows, q.signature)
		}
		return
	}
	r := l.runs[q.signature]
	if r == nil || r.id != q.id || withoutName(r.text) != withoutName(q.text) || strings.Join(r.rows, "\n") != strings.Join(q.rows, "\n") {
		other := "no run"
		if r != nil {
			other = fmt.Sprintf("the run of %s %q", r.id, r.text)
		}
		l.violate("MIXED", "%s %q was answered with rows %q and signature %s of %s", q.id, q.text, q.rows, q.signature, other)
		return
	}
	l.confirmed++
	if r.values != q.values || r.shape != q.shape {
		l.violate("PINNED", "%s ran with values %q and shape %q instead of %q and %q", q.id, r.values, r.shape, q.values, q.shape)
	}
	if q.op.transaction != (r.transaction != "") && q.op.transaction {
		l.violate("PINNED", "%s %q ran outside a transaction", q.id, q.text)
	}
	if home, ok := homes[q.op]; ok && home != r.transaction {
		l.violate("PINNED", "%s %q ran in transaction %s, others of it in %s", q.id, q.text, r.transaction, home)
	}
	homes[q.op] = r.transaction
	if r.transaction != "" {
		if user := users[r.transaction]; user != nil && user != q.op {
			l.violate("PINNED", "%s %q ran in another caller's transaction %s", q.id, q.text, r.transaction)
		}
		users[r.transaction] = q.op
	}
	if floor := q.op.floors[r.service]; r.visible < floor && len(r.rows) > 0 {
		l.violate("STALE", "%s %q saw %d of %d commits on %s", q.id, q.text, r.visible, floor, r.conn)
	}
}

// judgeCommit checks that the n commits of a write were asked for.
func (l *ledger) judgeCommit(id string, n int) {
	if n > 1 {
		l.violate("TWICE", "%s was committed %d times", id, n)
	}
	q := l.sent[id]
	if q == nil {
		return
	}
	if q.op.promise != "" {
		l.violate("REFUSED", "%s %q was committed although %s promised that nothing was kept", id, q.text, q.op.promise)
	}
	if q.op.transaction && !q.op.commitSent {
		l.violate("UNASKED", "%s %q was committed although its caller did not ask for it, after %s", id, q.text, l.before(id))
	}
}

// before returns the last lines of a connection up to a statement, with their answers.
func (l *ledger) before(id string) string {
	last := slices.IndexFunc(l.lines, func(line receivedLine) bool { return line.id == id })
	if last < 0 {
		return "no line"
	}
	var lines []string
	for _, line := range l.lines[:last+1] {
		if line.conn == l.lines[last].conn {
			lines = append(lines, fmt.Sprintf("%.60s %.60q: %.60q", line.id, line.text, line.answer))
		}
	}
	return strings.Join(lines[max(0, len(lines)-maxLinesBefore):], ", ")
}

// isForwarded reports whether a statement must be answered by an upstream.
func isForwarded(text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	return verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT"
}

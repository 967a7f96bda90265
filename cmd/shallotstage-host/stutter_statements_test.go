package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// refuse answers with an error, which fails an open transaction.
func (c *stutterConn) refuse(code string) (answerKind, string) {
	if c.state == "T" {
		c.state = "E"
	}
	return answerError, "ERROR " + code + " " + c.u.id + "\r\n"
}

// execute executes a statement. The caller must hold the service's lock.
func (c *stutterConn) execute(id, text, verb, access, arguments string, floor int) (answerKind, string) {
	u := c.u
	leads := u.service.primary == u.index
	if floor > u.visible() {
		return c.refuse("LAGGING")
	}
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" && verb != "RESET" && verb != "STATUS" {
		return c.refuse("MALFORMED")
	}
	lostLead := c.state == "T" && c.plain && (!leads || c.term != u.service.term) && (verb != "COMMIT" || len(c.writes) > 0)
	needsLead := text == "BEGIN" || access == "WRITE"
	if (lostLead || needsLead && !leads) && verb != "ROLLBACK" && verb != "RESET" {
		return c.refuse("READONLY")
	}
	switch verb {
	case "BEGIN":
		c.transaction++
		c.state, c.plain, c.term, c.writes = "T", text == "BEGIN", u.service.term, nil
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "RESET":
		c.state, c.writes = "I", nil
		clear(c.values)
		clear(c.prepared)
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		c.values[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(arguments, " ")
		c.prepared[name] = shape
	case "CLOSE":
		delete(c.prepared, arguments)
	case "COMMIT":
		if c.state != "T" {
			c.state = "I"
			return c.refuse("MALFORMED")
		}
		if len(c.writes) > 0 {
			c.commit(c.writes)
		}
		signature := c.sign(id, text, nil, len(c.writes) > 0)
		c.state, c.writes = "I", nil
		return answerSigned, signature
	case "READ", "WRITE", "EXECUTE":
		return answerSigned, c.readOrWrite(id, text, access)
	case "STATUS", "DEMOTE", "PAUSE", "RESUME":
		return answerStatus, fmt.Sprintf("ROW %s %d %d.%d 0 0 0 %d\r\nCOMPLETE -\r\n", u.role(), u.service.term, u.service.term, u.visible(), len(u.conns))
	default:
		return c.refuse("MALFORMED")
	}
	return answerAck, "COMPLETE -\r\n"
}

func (c *stutterConn) readOrWrite(id, text, access string) string {
	var rows []string
	if access == "READ" {
		for range 1 + c.rnd.IntN(3) {
			rows = append(rows, fmt.Sprintf("%016x", c.rnd.Uint64()))
		}
	}
	if access == "WRITE" && c.state == "T" {
		c.writes = append(c.writes, id)
	} else if access == "WRITE" {
		c.commit([]string{id})
	}
	return c.sign(id, text, rows, access == "WRITE" && c.state != "T")
}

// commit adds a commit of the given writes to the log.
func (c *stutterConn) commit(ids []string) {
	s := c.u.service
	s.commitTimes = append(s.commitTimes, time.Now())
	s.ledger.addCommit(ids)
}

// sign records the run of a statement and returns the answer with its rows and signature.
func (c *stutterConn) sign(id, text string, rows []string, committed bool) string {
	var answer strings.Builder
	for _, row := range rows {
		answer.WriteString("ROW " + row + "\r\n")
	}
	r := &statementRun{
		id: id, text: text, rows: rows, at: time.Now(), visible: c.u.visible(), values: formatValues(c.values), service: c.u.service.name, committed: committed,
		conn: fmt.Sprintf("%s/%d", c.u.id, c.number),
	}
	if c.state == "T" {
		r.transaction = fmt.Sprintf("%s/%d", r.conn, c.transaction)
	}
	if name, ok := executedName(text); ok {
		r.shape = c.prepared[name]
	}
	signature := fmt.Sprintf("%d.%x.%016x", c.u.service.term, c.number, c.rnd.Uint64())
	c.u.service.ledger.addRun(signature, r)
	answer.WriteString("COMPLETE " + signature + "\r\n")
	return answer.String()
}

// executedName returns the name of the prepared statement that a text executes.
func executedName(text string) (string, bool) {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	name, _, _ := strings.Cut(rest, " ")
	return name, ok
}

// withoutName returns a text without the name of the prepared statement, which hosts may change.
func withoutName(text string) string {
	if name, ok := executedName(text); ok {
		return "EXECUTE " + strings.TrimPrefix(text, "EXECUTE "+name)
	}
	return text
}

// formatValues returns session values as one text.
func formatValues(values map[string]string) string {
	var all []string
	for name, value := range values {
		all = append(all, name+"="+value)
	}
	slices.Sort(all)
	return strings.Join(all, ";")
}

// Package classifier decides from the text of a SQL statement how the proxy
// must route it.
//
// The decision is conservative: what is not certainly a read is a write. A
// function that writes inside a SELECT is still safe, because a replica
// refuses it with SQLSTATE 25006 and the proxy then asks the primary.
//
// # Usage
//
//	for _, s := range classifier.Split("SELECT 1; COMMIT") {
//		switch s.Class {
//		case classifier.ClassRead:
//			...
//		}
//	}
package classifier

import "strings"

// writeWords make a statement that begins like a read a write.
var writeWords = map[string]bool{
	"insert": true, "update": true, "delete": true, "merge": true, "into": true,
	"create": true, "drop": true, "alter": true, "truncate": true, "for": true,
	"currval": true, "lastval": true, "nextval": true, "setval": true, "set_config": true,
}

var readStarts = map[string]bool{"select": true, "values": true, "table": true, "with": true}

var unsupportedStarts = map[string]bool{"copy": true, "listen": true, "unlisten": true, "notify": true}

var pinStarts = map[string]bool{"prepare": true, "execute": true, "declare": true}

var discardStarts = map[string]bool{"deallocate": true, "discard": true}

// Split returns the statements of a text in order. An empty text gives one
// statement of ClassEmpty.
func Split(sql string) []Statement {
	tokens := lex(sql)
	var statements []Statement
	first := 0
	for i := 0; i <= len(tokens); i++ {
		end := i == len(tokens)
		if !end && !tokens[i].isSemicolon() {
			continue
		}
		if i > first {
			stop := len(sql)
			if !end {
				stop = tokens[i].start
			}
			s := classify(tokens[first:i])
			s.Text = strings.Trim(sql[tokens[first].start:stop], whiteSpace)
			statements = append(statements, s)
		}
		first = i + 1
	}
	if len(statements) == 0 {
		return []Statement{{Class: ClassEmpty}}
	}
	return statements
}

func classify(tokens []token) Statement {
	head := word(tokens, 0)
	switch {
	case usesAdvisoryLock(tokens):
		return Statement{Class: ClassPin}
	case readStarts[head] || head == "" && tokens[0].text == "(":
		return Statement{Class: readOrWrite(tokens)}
	case head == "begin" || head == "start":
		return Statement{Class: beginClass(tokens)}
	case head == "commit" || head == "end":
		return Statement{Class: ClassCommit}
	case head == "rollback" && hasWord(tokens, "to"):
		return Statement{Class: ClassWrite}
	case head == "rollback" || head == "abort":
		return Statement{Class: ClassRollback}
	case head == "set":
		return classifySet(tokens)
	case head == "reset":
		return Statement{Class: ClassReset, Setting: dottedName(tokens[1:])}
	case head == "show":
		return Statement{Class: ClassShow, Setting: dottedName(tokens[1:])}
	case unsupportedStarts[head]:
		return Statement{Class: ClassUnsupported}
	case discardStarts[head]:
		return Statement{Class: ClassDiscard, Setting: discardTarget(tokens)}
	case pinStarts[head]:
		return Statement{Class: ClassPin}
	case head == "create" && (hasWord(tokens, "temp") || hasWord(tokens, "temporary")):
		return Statement{Class: ClassPin}
	}
	return Statement{Class: ClassWrite}
}

// discardTarget returns "all", or the name of one prepared statement.
func discardTarget(tokens []token) string {
	if word(tokens, 1) == "prepare" {
		return dottedName(tokens[2:])
	}
	return dottedName(tokens[1:])
}

func word(tokens []token, i int) string {
	if i >= len(tokens) || tokens[i].kind != kindWord || tokens[i].quoted {
		return ""
	}
	return tokens[i].text
}

func hasWord(tokens []token, w string) bool {
	for i := range tokens {
		if word(tokens, i) == w {
			return true
		}
	}
	return false
}

func readOrWrite(tokens []token) Class {
	for i := range tokens {
		if writeWords[word(tokens, i)] {
			return ClassWrite
		}
	}
	return ClassRead
}

func usesAdvisoryLock(tokens []token) bool {
	for i := range tokens {
		w := word(tokens, i)
		if strings.HasPrefix(w, "pg_advisory_") || strings.HasPrefix(w, "pg_try_advisory_") {
			return !strings.Contains(w, "_xact_")
		}
	}
	return false
}

func beginClass(tokens []token) Class {
	for i := range tokens {
		if word(tokens, i) == "read" && word(tokens, i+1) == "only" {
			return ClassBeginReadOnly
		}
	}
	return ClassBegin
}

// classifySet handles SET [SESSION|LOCAL] name {TO|=} value. Forms without a
// setting of that shape, such as SET TRANSACTION, belong to the transaction.
func classifySet(tokens []token) Statement {
	rest := tokens[1:]
	s := Statement{Class: ClassSet}
	switch word(rest, 0) {
	case "local":
		s.Local = true
		rest = rest[1:]
	case "session":
		rest = rest[1:]
	case "transaction", "constraints":
		return Statement{Class: ClassWrite}
	}
	if word(rest, 0) == "time" && word(rest, 1) == "zone" {
		s.Setting = "timezone"
		s.Value = joinValue(rest[2:])
		return s
	}
	s.Setting = dottedName(rest)
	for i, t := range rest {
		if t.text == "=" || word(rest, i) == "to" {
			s.Value = joinValue(rest[i+1:])
			return s
		}
	}
	return Statement{Class: ClassPin}
}

func dottedName(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		if t.kind != kindWord && t.text != "." || t.text == "to" && !t.quoted {
			break
		}
		b.WriteString(strings.ToLower(t.text))
	}
	return b.String()
}

func joinValue(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		if b.Len() > 0 && t.text != "," && t.kind != kindSymbol {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}

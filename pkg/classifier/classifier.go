// Package classifier determines from the text of a SQL statement how the proxy
// must route it.
//
// The classification is conservative: a statement that is not certainly a read
// is a write. A SELECT that calls a writing function is still safe, because a
// replica rejects it with SQLSTATE 25006 and the proxy then sends it to the
// primary.
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

// writeKeywords are the keywords and functions that make a statement a write
// although it starts with one of readCommands.
var writeKeywords = map[string]bool{
	"insert": true, "update": true, "delete": true, "merge": true, "into": true,
	"create": true, "drop": true, "alter": true, "truncate": true, "for": true,
	"currval": true, "lastval": true, "nextval": true, "setval": true, "set_config": true,
}

var readCommands = map[string]bool{"select": true, "values": true, "table": true, "with": true}

var unsupportedCommands = map[string]bool{"copy": true, "listen": true, "unlisten": true, "notify": true}

var pinCommands = map[string]bool{"prepare": true, "execute": true, "declare": true}

var discardCommands = map[string]bool{"deallocate": true, "discard": true}

// Split returns the classified statements of a SQL text in order. A text without
// statements yields one statement of ClassEmpty.
func Split(sql string) []Statement {
	tokens := lex(sql)
	var statements []Statement
	first := 0
	for i := 0; i <= len(tokens); i++ {
		atEnd := i == len(tokens)
		if !atEnd && !tokens[i].isSemicolon() {
			continue
		}
		if i > first {
			end := len(sql)
			if !atEnd {
				end = tokens[i].start
			}
			s := classify(tokens[first:i])
			s.Text = strings.Trim(sql[tokens[first].start:end], whiteSpace)
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
	command := keyword(tokens, 0)
	switch {
	case usesSessionAdvisoryLock(tokens):
		return Statement{Class: ClassPin}
	case readCommands[command] || command == "" && tokens[0].text == "(":
		return Statement{Class: classifyQuery(tokens)}
	case command == "begin" || command == "start":
		return Statement{Class: classifyBegin(tokens)}
	case command == "commit" || command == "end":
		return Statement{Class: ClassCommit}
	case command == "rollback" && hasKeyword(tokens, "to"):
		return Statement{Class: ClassWrite}
	case command == "rollback" || command == "abort":
		return Statement{Class: ClassRollback}
	case command == "set":
		return classifySet(tokens)
	case command == "reset":
		return Statement{Class: ClassReset, Setting: qualifiedName(tokens[1:])}
	case command == "show":
		return Statement{Class: ClassShow, Setting: qualifiedName(tokens[1:])}
	case unsupportedCommands[command]:
		return Statement{Class: ClassUnsupported}
	case discardCommands[command]:
		return Statement{Class: ClassDiscard, Setting: discardTarget(tokens)}
	case pinCommands[command]:
		return Statement{Class: ClassPin}
	case command == "create" && (hasKeyword(tokens, "temp") || hasKeyword(tokens, "temporary")):
		return Statement{Class: ClassPin}
	}
	return Statement{Class: ClassWrite}
}

// discardTarget returns the argument of DISCARD or DEALLOCATE: a keyword such as
// "all", or the name of a prepared statement.
func discardTarget(tokens []token) string {
	if keyword(tokens, 1) == "prepare" {
		return qualifiedName(tokens[2:])
	}
	return qualifiedName(tokens[1:])
}

func keyword(tokens []token, i int) string {
	if i >= len(tokens) || tokens[i].kind != kindWord || tokens[i].quoted {
		return ""
	}
	return tokens[i].text
}

func hasKeyword(tokens []token, name string) bool {
	for i := range tokens {
		if keyword(tokens, i) == name {
			return true
		}
	}
	return false
}

func classifyQuery(tokens []token) Class {
	for i := range tokens {
		if writeKeywords[keyword(tokens, i)] {
			return ClassWrite
		}
	}
	return ClassRead
}

func usesSessionAdvisoryLock(tokens []token) bool {
	for i := range tokens {
		name := keyword(tokens, i)
		if strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_") {
			return !strings.Contains(name, "_xact_")
		}
	}
	return false
}

func classifyBegin(tokens []token) Class {
	for i := range tokens {
		if keyword(tokens, i) == "read" && keyword(tokens, i+1) == "only" {
			return ClassBeginReadOnly
		}
	}
	return ClassBegin
}

// classifySet classifies SET [SESSION|LOCAL] name {TO|=} value. SET TRANSACTION
// and SET CONSTRAINTS apply to the current transaction and are classified as
// writes. Other forms without TO or = are classified as ClassPin.
func classifySet(tokens []token) Statement {
	arguments := tokens[1:]
	s := Statement{Class: ClassSet}
	switch keyword(arguments, 0) {
	case "local":
		s.Local = true
		arguments = arguments[1:]
	case "session":
		arguments = arguments[1:]
	case "transaction", "constraints":
		return Statement{Class: ClassWrite}
	}
	if keyword(arguments, 0) == "time" && keyword(arguments, 1) == "zone" {
		s.Setting = "timezone"
		s.Value = joinValue(arguments[2:])
		return s
	}
	s.Setting = qualifiedName(arguments)
	for i, t := range arguments {
		if t.text == "=" || keyword(arguments, i) == "to" {
			s.Value = joinValue(arguments[i+1:])
			return s
		}
	}
	return Statement{Class: ClassPin}
}

func qualifiedName(tokens []token) string {
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

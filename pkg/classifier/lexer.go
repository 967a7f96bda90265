package classifier

import "strings"

type tokenKind string

const (
	kindWord   tokenKind = "word"
	kindString tokenKind = "string"
	kindSymbol tokenKind = "symbol"
)

// token is a lexical token. The text of a word is converted to lower case unless
// it is quoted.
type token struct {
	kind   tokenKind
	text   string
	start  int
	quoted bool
}

func (t token) isSemicolon() bool { return t.kind == kindSymbol && t.text == ";" }

// whiteSpace lists the white space bytes that separate tokens.
const whiteSpace = " \t\n\r\f\v"

// lex splits SQL into tokens. Comments and white space are skipped. An
// unterminated string or comment extends to the end of the text.
func lex(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case strings.IndexByte(whiteSpace, c) >= 0:
			i++
		case strings.HasPrefix(sql[i:], "--"):
			i = lineCommentEnd(sql, i)
		case strings.HasPrefix(sql[i:], "/*"):
			i = blockCommentEnd(sql, i)
		case c == '\'':
			end := quotedEnd(sql, i, '\'', isEscapeString(sql, i))
			tokens = append(tokens, token{kind: kindString, text: unquote(sql[i:end], "'"), start: i})
			i = end
		case c == '"':
			end := quotedEnd(sql, i, '"', false)
			tokens = append(tokens, token{kind: kindWord, text: unquote(sql[i:end], `"`), start: i, quoted: true})
			i = end
		case c == '$' && dollarTag(sql[i:]) != "":
			end := dollarEnd(sql, i)
			tokens = append(tokens, token{kind: kindString, text: sql[i:end], start: i})
			i = end
		case isWordByte(c):
			end := i
			for end < len(sql) && (isWordByte(sql[end]) || sql[end] == '$') {
				end++
			}
			tokens = append(tokens, token{kind: kindWord, text: strings.ToLower(sql[i:end]), start: i})
			i = end
		default:
			tokens = append(tokens, token{kind: kindSymbol, text: sql[i : i+1], start: i})
			i++
		}
	}
	return tokens
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func lineCommentEnd(sql string, i int) int {
	n := strings.IndexByte(sql[i:], '\n')
	if n < 0 {
		return len(sql)
	}
	return i + n + 1
}

// blockCommentEnd returns the end of a block comment, which may be nested.
func blockCommentEnd(sql string, i int) int {
	depth := 0
	for i < len(sql) {
		switch {
		case strings.HasPrefix(sql[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(sql[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return len(sql)
}

// isEscapeString reports whether the quote at i opens an escape string (E'...'),
// in which a backslash escapes the next character.
func isEscapeString(sql string, i int) bool {
	if i == 0 || sql[i-1] != 'e' && sql[i-1] != 'E' {
		return false
	}
	return i == 1 || !isWordByte(sql[i-2])
}

func quotedEnd(sql string, i int, quote byte, escapes bool) int {
	for i++; i < len(sql); i++ {
		switch {
		case escapes && sql[i] == '\\':
			i++
		case sql[i] != quote:
		case i+1 < len(sql) && sql[i+1] == quote:
			i++
		default:
			return i + 1
		}
	}
	return len(sql)
}

func unquote(s, quote string) string {
	s = strings.TrimPrefix(s, quote)
	s = strings.TrimSuffix(s, quote)
	return strings.ReplaceAll(s, quote+quote, quote)
}

// dollarTag returns the tag that opens a dollar-quoted string, or "".
func dollarTag(s string) string {
	for i := 1; i < len(s); i++ {
		if s[i] == '$' {
			return s[:i+1]
		}
		if !isWordByte(s[i]) || i == 1 && s[i] >= '0' && s[i] <= '9' {
			return ""
		}
	}
	return ""
}

func dollarEnd(sql string, i int) int {
	tag := dollarTag(sql[i:])
	n := strings.Index(sql[i+len(tag):], tag)
	if n < 0 {
		return len(sql)
	}
	return i + 2*len(tag) + n
}

package router

import (
	"strconv"
	"strings"
)

// tableGroup is the number after the underscore in the name of the schema that a statement reads or writes, if
// there is one. Names in strings and comments don't count, nor does the schema staging. A name where
// a table stands (after FROM, JOIN, INTO, UPDATE or TABLE, or after a comma of such a list) goes before a
// qualified name elsewhere, which may be of an alias.
func tableGroup(statement string) (group uint32, ok bool) {
	s := scanner{text: statement}
	table := false
	for {
		word := s.next()
		switch {
		case word == "":
			return group, ok
		case word == ".":
			continue
		case s.peekDot():
			n, has := schemaGroup(word)
			if has && table {
				return n, true
			}
			if has && !ok {
				group, ok = n, true
			}
			for s.peekDot() { // the rest of the qualified name
				s.next()
				s.next()
			}
			continue
		}
		switch strings.ToUpper(word) {
		case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
			table = true
		case ",", "AS", "IF", "EXISTS", "IGNORE", "ONLY":
		case "WHERE", "SET", "SELECT", "GROUP", "ORDER", "HAVING", "LIMIT", "VALUES", "ON", "USING", "(", ")":
			table = false
		}
	}
}

// severalStatements tells whether anything but white space and comments follows a semicolon. Such a text is two
// queries under one id, of which the second is none that the fields describe.
func severalStatements(statement string) bool {
	s := scanner{text: statement}
	ended := false
	for word := s.next(); word != ""; word = s.next() {
		if ended && word != ";" {
			return true
		}
		ended = ended || word == ";"
	}
	return false
}

// schemaGroup reads the number out of a schema's name.
func schemaGroup(schema string) (uint32, bool) {
	at := strings.LastIndexByte(schema, '_')
	if at < 1 || strings.EqualFold(schema[:at], "staging") {
		return 0, false
	}
	n, err := strconv.ParseUint(schema[at+1:], 10, 32)
	return uint32(n), err == nil
}

// scanner cuts a statement into names and single marks, without strings and comments.
type scanner struct {
	text string
	at   int
}

// skip passes white space, comments and strings.
func (s *scanner) skip() {
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch c := rest[0]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.at++
		case strings.HasPrefix(rest, "/*"):
			s.pass(rest, 2, "*/")
		case c == '#' || strings.HasPrefix(rest, "-- ") || strings.HasPrefix(rest, "--\n") || rest == "--":
			s.pass(rest, 1, "\n")
		case c == '\'' || c == '"':
			s.at += quoted(rest)
		default:
			return
		}
	}
}

// pass goes behind the end mark, or to the end of the text.
func (s *scanner) pass(rest string, from int, end string) {
	if i := strings.Index(rest[from:], end); i >= 0 {
		s.at += from + i + len(end)
	} else {
		s.at = len(s.text)
	}
}

// quoted is the length of the quoted text at the start of s, with its quotes.
func quoted(s string) int {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '\\' && s[0] != '`':
			i++
		case s[i] == s[0]:
			if i+1 < len(s) && s[i+1] == s[0] {
				i++
				continue
			}
			return i + 1
		}
	}
	return len(s)
}

// next is the next name or mark, "" at the end.
func (s *scanner) next() string {
	s.skip()
	if s.at >= len(s.text) {
		return ""
	}
	rest := s.text[s.at:]
	if rest[0] == '`' {
		n := quoted(rest)
		s.at += n
		if name := strings.Trim(rest[:n], "`"); name != "" {
			return name
		}
		return "`"
	}
	n := 0
	for n < len(rest) && nameByte(rest[n]) {
		n++
	}
	n = max(n, 1)
	s.at += n
	return rest[:n]
}

// peekDot tells whether a dot comes next.
func (s *scanner) peekDot() bool {
	s.skip()
	return s.at < len(s.text) && s.text[s.at] == '.'
}

func nameByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

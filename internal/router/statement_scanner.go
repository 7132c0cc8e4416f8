package router

import "strings"

// statementScanner splits an SQL statement into tokens: names and numbers as a whole, everything else byte by byte. It
// skips string literals and comments.
type statementScanner struct {
	text     string
	position int
}

// next returns the next token, or "" at the end of the statement. A quoted name is returned without its backquotes.
func (s *statementScanner) next() string {
	s.skip()
	if s.position >= len(s.text) {
		return ""
	}
	remaining := s.text[s.position:]
	if remaining[0] == '`' {
		length := quotedLength(remaining)
		s.position += length
		if name := strings.Trim(remaining[:length], "`"); name != "" {
			return name
		}
		return "`"
	}
	length := 0
	for length < len(remaining) && isNameByte(remaining[length]) {
		length++
	}
	length = max(length, 1)
	s.position += length
	return remaining[:length]
}

// dotFollows reports whether the next token is a dot.
func (s *statementScanner) dotFollows() bool {
	s.skip()
	return s.position < len(s.text) && s.text[s.position] == '.'
}

// skip skips white space, comments and string literals.
func (s *statementScanner) skip() {
	for s.position < len(s.text) {
		remaining := s.text[s.position:]
		switch c := remaining[0]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.position++
		case strings.HasPrefix(remaining, "/*"):
			s.skipPast("*/", len("/*"))
		case c == '#' || strings.HasPrefix(remaining, "-- ") || strings.HasPrefix(remaining, "--\n") || remaining == "--":
			s.skipPast("\n", 1)
		case c == '\'' || c == '"':
			s.position += quotedLength(remaining)
		default:
			return
		}
	}
}

// skipPast moves past the next terminator, or to the end of the text if there is none. The search starts offset bytes
// after the current position.
func (s *statementScanner) skipPast(terminator string, offset int) {
	from := s.position + offset
	if i := strings.Index(s.text[from:], terminator); i >= 0 {
		s.position = from + i + len(terminator)
	} else {
		s.position = len(s.text)
	}
}

// quotedLength returns the length of the quoted text at the start of text, with its quotes. Without a closing quote, it
// is the length of text.
func quotedLength(text string) int {
	quote := text[0]
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '\\' && quote != '`':
			i++
		case text[i] == quote:
			if i+1 < len(text) && text[i+1] == quote {
				i++
				continue
			}
			return i + 1
		}
	}
	return len(text)
}

func isNameByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

package router

import "strings"

// statementScanner splits a statement into names and single marks. It leaves out strings and comments.
type statementScanner struct {
	text     string
	position int
}

// next returns the next name or mark, and "" at the end of the statement.
func (s *statementScanner) next() string {
	s.skip()
	if s.position >= len(s.text) {
		return ""
	}
	rest := s.text[s.position:]
	if rest[0] == '`' {
		length := quotedLength(rest)
		s.position += length
		if name := strings.Trim(rest[:length], "`"); name != "" {
			return name
		}
		return "`"
	}
	length := 0
	for length < len(rest) && isNameByte(rest[length]) {
		length++
	}
	length = max(length, 1)
	s.position += length
	return rest[:length]
}

// dotFollows reports whether a dot comes next.
func (s *statementScanner) dotFollows() bool {
	s.skip()
	return s.position < len(s.text) && s.text[s.position] == '.'
}

// skip skips white space, comments and strings.
func (s *statementScanner) skip() {
	for s.position < len(s.text) {
		rest := s.text[s.position:]
		switch c := rest[0]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.position++
		case strings.HasPrefix(rest, "/*"):
			s.skipTo("*/", len("/*"))
		case c == '#' || strings.HasPrefix(rest, "-- ") || strings.HasPrefix(rest, "--\n") || rest == "--":
			s.skipTo("\n", 1)
		case c == '\'' || c == '"':
			s.position += quotedLength(rest)
		default:
			return
		}
	}
}

// skipTo skips all up to the end mark, which it looks for from the offset on, or to the end of the text.
func (s *statementScanner) skipTo(end string, offset int) {
	from := s.position + offset
	if i := strings.Index(s.text[from:], end); i >= 0 {
		s.position = from + i + len(end)
	} else {
		s.position = len(s.text)
	}
}

// quotedLength is the length of the quoted text at the start of text, with its quotes.
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

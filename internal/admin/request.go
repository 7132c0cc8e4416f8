package admin

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
)

// maxCall bounds a call, its head and its body together; operators send neither long heads nor bodies.
const maxCall = 8 << 10

// call is one HTTP/1.1 request.
type call struct {
	method string
	path   string // decoded, without the query
}

var (
	errMalformed = errors.New("malformed call")
	errTooLong   = errors.New("call too long")
)

// parseCall reads a whole request; it gives nil while more is to come.
func parseCall(b []byte) (*call, error) {
	head, body, whole := cutHead(b)
	if !whole {
		if len(b) > maxCall {
			return nil, errTooLong
		}
		// What can't become a call is told at once, not when its time is up.
		line, _, ended := bytes.Cut(b, []byte("\n"))
		if !ended && len(line) > 0 && !isToken(line[:1]) {
			return nil, errMalformed
		}
		if ended {
			if _, err := parseLine(string(line)); err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
	lines := strings.Split(string(head), "\n")
	c, err := parseLine(lines[0])
	if err != nil {
		return nil, err
	}
	length := 0
	seen := false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		if !ok || name == "" || !isToken([]byte(name)) {
			return nil, errMalformed
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || seen && int(n) != length {
				return nil, errMalformed
			}
			length, seen = int(n), true
		case "transfer-encoding":
			return nil, errMalformed // no call has a body that would need it
		}
	}
	if len(head)+length > maxCall {
		return nil, errTooLong
	}
	if len(body) < length {
		return nil, nil
	}
	return c, nil
}

// cutHead cuts a head off at the empty line behind it; lines may end in a bare line feed.
func cutHead(b []byte) (head, body []byte, whole bool) {
	for i := 0; i < len(b) && i <= maxCall; i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\r' {
			rest = rest[1:]
		}
		if len(rest) > 0 && rest[0] == '\n' {
			return b[:i], rest[1:], true
		}
	}
	return nil, nil, false
}

// parseLine reads a request line.
func parseLine(line string) (*call, error) {
	parts := strings.Split(strings.TrimSuffix(line, "\r"), " ")
	if len(parts) != 3 || parts[0] == "" || !isToken([]byte(parts[0])) ||
		parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, errMalformed
	}
	u, err := url.ParseRequestURI(parts[1])
	if err != nil {
		return nil, errMalformed
	}
	return &call{method: parts[0], path: u.Path}, nil
}

// isToken tells whether b is of the characters that HTTP allows in methods and names.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

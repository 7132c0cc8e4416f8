package admin

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
)

// maxRequest bounds a request, its head and its body together; operators send neither long heads nor bodies.
const maxRequest = 8 << 10

// contentLengthBits bounds a body's length to what an int holds on every platform.
const contentLengthBits = 31

// request is one HTTP/1.1 request.
type request struct {
	method string
	path   string // decoded, without the query
}

// The texts are part of the API: they are the bodies of responses.
var (
	errMalformedRequest = errors.New("malformed call")
	errRequestTooLong   = errors.New("call too long")
)

// parseRequest parses a request; it returns nil while the request is incomplete.
func parseRequest(b []byte) (*request, error) {
	head, body, complete := splitHead(b)
	if !complete {
		return nil, checkIncomplete(b)
	}
	lines := strings.Split(string(head), "\n")
	parsed, err := parseRequestLine(lines[0])
	if err != nil {
		return nil, err
	}
	length, err := bodyLength(lines[1:])
	if err != nil {
		return nil, err
	}
	if len(head)+length > maxRequest {
		return nil, errRequestTooLong
	}
	if len(body) < length {
		return nil, nil
	}
	return parsed, nil
}

// checkIncomplete rejects what can't become a request at once, instead of when its time is up.
func checkIncomplete(b []byte) error {
	if len(b) > maxRequest {
		return errRequestTooLong
	}
	line, _, ended := bytes.Cut(b, []byte("\n"))
	if ended {
		_, err := parseRequestLine(string(line))
		return err
	}
	if len(line) > 0 && !isToken(line[:1]) {
		return errMalformedRequest
	}
	return nil
}

// splitHead cuts the head off at the empty line behind it; lines may end in a bare line feed.
func splitHead(b []byte) (head, body []byte, complete bool) {
	for i := 0; i < len(b) && i <= maxRequest; i++ {
		if b[i] != '\n' {
			continue
		}
		remaining := b[i+1:]
		if len(remaining) > 0 && remaining[0] == '\r' {
			remaining = remaining[1:]
		}
		if len(remaining) > 0 && remaining[0] == '\n' {
			return b[:i], remaining[1:], true
		}
	}
	return nil, nil, false
}

// bodyLength returns the length that the header lines of a head state, or 0.
func bodyLength(lines []string) (int, error) {
	length, stated := 0, false
	for _, line := range lines {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		if !ok || name == "" || !isToken([]byte(name)) {
			return 0, errMalformedRequest
		}
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, contentLengthBits)
			if err != nil || stated && int(n) != length {
				return 0, errMalformedRequest
			}
			length, stated = int(n), true
		case "transfer-encoding":
			return 0, errMalformedRequest // no request has a body that would need it
		}
	}
	return length, nil
}

// parseRequestLine parses the first line of a request.
func parseRequestLine(line string) (*request, error) {
	parts := strings.Split(strings.TrimSuffix(line, "\r"), " ")
	if len(parts) != 3 {
		return nil, errMalformedRequest
	}
	method, target, version := parts[0], parts[1], parts[2]
	if method == "" || !isToken([]byte(method)) || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errMalformedRequest
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, errMalformedRequest
	}
	return &request{method: method, path: u.Path}, nil
}

// isToken reports whether b consists of the characters that HTTP allows in methods and names of headers.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

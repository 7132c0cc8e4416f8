package admin

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
)

// maxRequest is the maximum size of a request, head and body together, in bytes. Operators send neither long heads nor
// long bodies.
const maxRequest = 8 << 10

// contentLengthBits limits the content length to values that fit into an int on every platform.
const contentLengthBits = 31

// request is an HTTP/1.1 request.
type request struct {
	method string
	path   string // unescaped, without the query string
}

// Errors in requests. Their texts are part of the API, because they are sent as response bodies.
var (
	errMalformedRequest = errors.New("malformed call")
	errRequestTooLong   = errors.New("call too long")
)

// parseRequest parses a request. It returns nil without an error while the request is incomplete, and an error if the
// request is malformed or longer than maxRequest.
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

// checkIncomplete returns an error if the bytes cannot be the start of a valid request, so that the request is rejected
// at once and not only by the request timeout.
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

// splitHead splits the bytes into head and body at the empty line between them. Lines may end in CRLF or in a bare line
// feed. complete is false if there is no empty line within the first maxRequest bytes.
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

// bodyLength returns the value of the Content-Length header, or 0 if there is none. It fails if a header line is
// malformed, if the lengths are invalid or contradict each other, or if there is a Transfer-Encoding header.
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
			return 0, errMalformedRequest // not supported: no request of this API needs a body
		}
	}
	return length, nil
}

// parseRequestLine parses the request line of HTTP/1.0 and HTTP/1.1.
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

// isToken reports whether b contains only characters that HTTP allows in methods and header names.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

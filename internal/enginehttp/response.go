package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHead = 8 << 10
	maxPage = 6000
	maxBody = 16 << 10 // an error may be longer than a page
	// maxInterim is how many interim responses may stand before an answer.
	maxInterim = 8
)

// response is one answer of an engine.
type response struct {
	status int
	header map[string]string // names in lower case
	body   []byte
	close  bool // the engine closes the connection after it
	more   bool // further bytes came with it, which belong to no call
}

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// parseResponse reads one whole response from the start of b and gives its length; 0 means that more bytes
// are needed. An error means that the framing is lost.
func parseResponse(b []byte) (*response, int, error) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		if len(b) > maxHead {
			return nil, 0, errors.New("a response head without end")
		}
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, 0, fmt.Errorf("bad status line %.60q", lines[0])
	}
	r := &response{status: status, header: map[string]string{}, close: proto == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.TrimSpace(name) != name {
			return nil, 0, fmt.Errorf("bad header line %.60q", line)
		}
		name, value = strings.ToLower(name), strings.TrimSpace(value)
		if old, twice := r.header[name]; twice && name == "content-length" && old != value {
			return nil, 0, fmt.Errorf("two lengths, %.20q and %.20q", old, value)
		}
		r.header[name] = value
	}
	if token, ok := r.header["connection"]; ok {
		r.close = strings.EqualFold(token, "close")
	}
	at := end + len(headEnd)
	if status == 204 || status == 304 || status < 200 {
		return r, at, nil
	}
	if strings.EqualFold(r.header["transfer-encoding"], "chunked") {
		return parseChunks(r, b, at)
	}
	length, ok := r.header["content-length"]
	n, err := strconv.Atoi(length)
	if !ok || err != nil || n < 0 || n > maxBody {
		return nil, 0, fmt.Errorf("content-length %.20q is missing, no number or over %d", length, maxBody)
	}
	if len(b) < at+n {
		return nil, 0, nil
	}
	r.body = b[at : at+n : at+n]
	return r, at + n, nil
}

// parseChunks reads a chunked body that starts at that place.
func parseChunks(r *response, b []byte, at int) (*response, int, error) {
	for {
		eol := bytes.Index(b[at:], crlf)
		if eol < 0 {
			if len(b)-at > 64 {
				return nil, 0, errors.New("a chunk size without end")
			}
			return nil, 0, nil
		}
		size, _, _ := strings.Cut(string(b[at:at+eol]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(r.body)+int(n) > maxBody {
			return nil, 0, fmt.Errorf("bad chunk size %.20q", size)
		}
		at += eol + len(crlf)
		if n == 0 {
			if len(b) < at+len(crlf) {
				return nil, 0, nil
			}
			if !bytes.HasPrefix(b[at:], crlf) {
				return nil, 0, errors.New("trailers after the last chunk")
			}
			return r, at + len(crlf), nil
		}
		if len(b) < at+int(n)+len(crlf) {
			return nil, 0, nil
		}
		r.body = append(r.body, b[at:at+int(n)]...)
		if !bytes.HasPrefix(b[at+int(n):], crlf) {
			return nil, 0, errors.New("a chunk longer than its size")
		}
		at += int(n) + len(crlf)
	}
}

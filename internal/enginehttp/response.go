package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Bounds on responses, in bytes.
const (
	maxHead      = 8 << 10
	maxPage      = 6000
	maxBody      = 16 << 10 // an error may be longer than a page
	maxChunkLine = 64
)

// maxInterim is how many interim responses may precede a response.
const maxInterim = 8

// response is one HTTP response of an engine.
type response struct {
	status        int
	header        map[string]string // names in lower case
	body          []byte
	close         bool // the engine closes the connection after it
	trailingBytes bool // further bytes arrived with it, which belong to no request
}

// interim reports whether the engine has yet to send the final response (1xx).
func (r *response) interim() bool { return r.status < http.StatusOK }

// hasBody reports whether the status allows for a body.
func (r *response) hasBody() bool {
	return !r.interim() && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// parseResponse reads one complete response from the start of data and returns its length; 0 means that more bytes are
// needed. An error means that the end of the response cannot be found.
func parseResponse(data []byte) (*response, int, error) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		if len(data) > maxHead {
			return nil, 0, errors.New("response head without end")
		}
		return nil, 0, nil
	}
	resp, err := parseHead(string(data[:end]))
	if err != nil {
		return nil, 0, err
	}
	bodyStart := end + len(headEnd)
	if !resp.hasBody() {
		return resp, bodyStart, nil
	}
	if strings.EqualFold(resp.header["transfer-encoding"], "chunked") {
		return parseChunks(resp, data, bodyStart)
	}
	text, ok := resp.header["content-length"]
	length, err := strconv.Atoi(text)
	if !ok || err != nil || length < 0 || length > maxBody {
		return nil, 0, fmt.Errorf("content-length %.20q is missing, no number or over %d", text, maxBody)
	}
	bodyEnd := bodyStart + length
	if len(data) < bodyEnd {
		return nil, 0, nil
	}
	resp.body = data[bodyStart:bodyEnd:bodyEnd]
	return resp, bodyEnd, nil
}

// parseHead reads the status line and the headers.
func parseHead(head string) (*response, error) {
	lines := strings.Split(head, "\r\n")
	proto, statusAndReason, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(statusAndReason, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, fmt.Errorf("bad status line %.60q", lines[0])
	}
	resp := &response{status: status, header: map[string]string{}, close: proto == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.TrimSpace(name) != name {
			return nil, fmt.Errorf("bad header line %.60q", line)
		}
		name, value = strings.ToLower(name), strings.TrimSpace(value)
		if old, repeated := resp.header[name]; repeated && name == "content-length" && old != value {
			return nil, fmt.Errorf("two lengths, %.20q and %.20q", old, value)
		}
		resp.header[name] = value
	}
	if token, ok := resp.header["connection"]; ok {
		resp.close = strings.EqualFold(token, "close")
	}
	return resp, nil
}

// parseChunks reads a chunked body that starts at the offset.
func parseChunks(resp *response, data []byte, offset int) (*response, int, error) {
	for {
		lineLength := bytes.Index(data[offset:], crlf)
		if lineLength < 0 {
			if len(data)-offset > maxChunkLine {
				return nil, 0, errors.New("chunk size without end")
			}
			return nil, 0, nil
		}
		text, _, _ := strings.Cut(string(data[offset:offset+lineLength]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || len(resp.body)+int(size) > maxBody {
			return nil, 0, fmt.Errorf("bad chunk size %.20q", text)
		}
		offset += lineLength + len(crlf)
		chunkEnd := offset + int(size)
		next := chunkEnd + len(crlf)
		if len(data) < next {
			return nil, 0, nil
		}
		if size == 0 {
			if !bytes.HasPrefix(data[offset:], crlf) {
				return nil, 0, errors.New("trailers after the last chunk")
			}
			return resp, next, nil
		}
		resp.body = append(resp.body, data[offset:chunkEnd]...)
		if !bytes.HasPrefix(data[chunkEnd:], crlf) {
			return nil, 0, errors.New("chunk longer than its size")
		}
		offset = next
	}
}

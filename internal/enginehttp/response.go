package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Size limits of responses, in bytes.
const (
	maxHead      = 8 << 10  // status line and headers
	maxPage      = 6000     // a page of a result
	maxBody      = 16 << 10 // any body; that of an error may be longer than a page
	maxChunkLine = 64       // the line with the size of a chunk
)

// maxHeaderFields is the maximum number of headers of a response. A short one takes far more memory than bytes.
const maxHeaderFields = 100

// maxInterim is the number of interim (1xx) responses that may precede the final response.
const maxInterim = 8

// response is an HTTP response from an engine.
type response struct {
	status        int
	header        map[string]string // names in lower case
	body          []byte
	close         bool // the engine closes the connection after the response
	trailingBytes bool // more bytes, which belong to no request, were received after the response
}

// interim reports whether this is an interim (1xx) response, which the final response follows.
func (r *response) interim() bool { return r.status < http.StatusOK }

// hasBody reports whether a response with this status has a body.
func (r *response) hasBody() bool {
	return !r.interim() && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// parseResponse parses one complete response at the start of data and returns it with its length in bytes. The response
// is nil and the length 0 if data is incomplete. It returns an error if the response is malformed or exceeds a limit;
// the end of the response is then unknown.
func parseResponse(data []byte) (*response, int, error) {
	end := bytes.Index(data[:min(len(data), maxHead+len(headEnd))], headEnd)
	if end < 0 {
		if len(data) > maxHead {
			return nil, 0, fmt.Errorf("response head is unterminated after %d bytes", maxHead)
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
		return nil, 0, fmt.Errorf("missing or invalid content-length %.20q: expected a number from 0 to %d", text, maxBody)
	}
	bodyEnd := bodyStart + length
	if len(data) < bodyEnd {
		return nil, 0, nil
	}
	resp.body = data[bodyStart:bodyEnd:bodyEnd]
	return resp, bodyEnd, nil
}

// parseHead parses the status line and the headers, without the empty line that ends them.
func parseHead(head string) (*response, error) {
	if fields := strings.Count(head, "\r\n"); fields > maxHeaderFields {
		return nil, fmt.Errorf("response has %d headers, at most %d are allowed", fields, maxHeaderFields)
	}
	lines := strings.Split(head, "\r\n")
	proto, statusAndReason, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(statusAndReason, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, fmt.Errorf("invalid status line %.60q", lines[0])
	}
	resp := &response{status: status, header: map[string]string{}, close: proto == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.TrimSpace(name) != name {
			return nil, fmt.Errorf("invalid header line %.60q", line)
		}
		name, value = strings.ToLower(name), strings.TrimSpace(value)
		if old, repeated := resp.header[name]; repeated && name == "content-length" && old != value {
			return nil, fmt.Errorf("conflicting content-length headers %.20q and %.20q", old, value)
		}
		resp.header[name] = value
	}
	if token, ok := resp.header["connection"]; ok {
		resp.close = strings.EqualFold(token, "close")
	}
	return resp, nil
}

// parseChunks parses a chunked body that starts at the offset and stores it in resp. Its results are those of
// parseResponse.
func parseChunks(resp *response, data []byte, offset int) (*response, int, error) {
	for {
		lineLength := bytes.Index(data[offset:], crlf)
		if lineLength < 0 {
			if len(data)-offset > maxChunkLine {
				return nil, 0, fmt.Errorf("chunk size line is unterminated after %d bytes", maxChunkLine)
			}
			return nil, 0, nil
		}
		text, _, _ := strings.Cut(string(data[offset:offset+lineLength]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || len(resp.body)+int(size) > maxBody {
			return nil, 0, fmt.Errorf("invalid chunk size %.20q: expected a hexadecimal number and a body of at most %d bytes",
				text, maxBody)
		}
		offset += lineLength + len(crlf)
		chunkEnd := offset + int(size)
		next := chunkEnd + len(crlf)
		if len(data) < next {
			return nil, 0, nil
		}
		if size == 0 {
			if !bytes.HasPrefix(data[offset:], crlf) {
				return nil, 0, errors.New("unsupported trailers after the last chunk")
			}
			return resp, next, nil
		}
		resp.body = append(resp.body, data[offset:chunkEnd]...)
		if !bytes.HasPrefix(data[chunkEnd:], crlf) {
			return nil, 0, fmt.Errorf("chunk longer than its size of %d bytes", size)
		}
		offset = next
	}
}

package admin

import (
	"fmt"
	"strings"
)

// status is an HTTP status code.
type status int

const (
	statusOK                 status = 200
	statusBadRequest         status = 400
	statusNotFound           status = 404
	statusMethodNotAllowed   status = 405
	statusRequestTimeout     status = 408
	statusContentTooLarge    status = 413
	statusServiceUnavailable status = 503

	// statusMultipleChoices is the first status code that does not mean success.
	statusMultipleChoices status = 300
)

var reasonPhrases = map[status]string{
	statusOK:                 "OK",
	statusBadRequest:         "Bad Request",
	statusNotFound:           "Not Found",
	statusMethodNotAllowed:   "Method Not Allowed",
	statusRequestTimeout:     "Request Timeout",
	statusContentTooLarge:    "Content Too Large",
	statusServiceUnavailable: "Service Unavailable",
}

// response is an HTTP/1.1 response.
type response struct {
	status status
	text   string // the body
	allow  string // value of the Allow header, with statusMethodNotAllowed
}

// methodNotAllowed returns the response to a request with a method other than the allowed one.
func methodNotAllowed(allow string) response {
	return response{status: statusMethodNotAllowed, text: "method not allowed", allow: allow}
}

func (r response) succeeded() bool { return r.status < statusMultipleChoices }

// encode returns the bytes of the response on the wire. The body always ends in a line feed.
func (r response) encode() []byte {
	text := r.text
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", r.status, reasonPhrases[r.status])
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	if r.allow != "" {
		b = fmt.Appendf(b, "Allow: %s\r\n", r.allow)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
}

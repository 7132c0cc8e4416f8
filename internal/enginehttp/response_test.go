package enginehttp

import (
	"strings"
	"testing"
)

// TestParseResponse checks complete, incomplete and malformed responses, and responses over the size limits.
func TestParseResponse(t *testing.T) {
	for _, test := range []struct {
		name, text, err string
		status, length  int
		body            string
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcX", "", 200, 41, "abc"},
		{
			"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n",
			"", 200, 67, "abc",
		},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", 204, 27, ""},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", "", 0, 0, ""},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", 0, 0, ""},
		{"not HTTP", "hello\r\n\r\n", "status line", 0, 0, ""},
		{"missing length", "HTTP/1.1 200 OK\r\n\r\n", "content-length", 0, 0, ""},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "content-length", 0, 0, ""},
		{"length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", "content-length", 0, 0, ""},
		{"invalid header", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n", "header line", 0, 0, ""},
		{"invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "chunk size", 0, 0, ""},
		{
			"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
			"conflicting content-length headers", 0, 0, "",
		},
		{"length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "content-length", 0, 0, ""},
		{"chunk of 3 GB", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n", "chunk size", 0, 0, ""},
		{"truncated chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", "", 0, 0, ""},
		{
			"unterminated chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 65),
			"chunk size line is unterminated after 64 bytes", 0, 0, "",
		},
		{
			"chunk longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
			"chunk longer than its size of 2 bytes", 0, 0, "",
		},
		{
			"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Load: 1\r\n\r\n",
			"trailers after the last chunk", 0, 0, "",
		},
		{
			"chunks of more than 16 KiB in total", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n1\r\nx\r\n0\r\n\r\n",
			"invalid chunk size \"1\"", 0, 0, "",
		},
		{"unterminated head", strings.Repeat("x", 9<<10), "head is unterminated after 8192 bytes", 0, 0, ""},
	} {
		resp, size, err := parseResponse([]byte(test.text))
		if test.err != "" || err != nil {
			if err == nil || test.err == "" || !strings.Contains(err.Error(), test.err) {
				t.Errorf("%s: error %v, want %q", test.name, err, test.err)
			}
			continue
		}
		if size != test.length || (resp == nil) != (size == 0) ||
			resp != nil && (resp.status != test.status || string(resp.body) != test.body) {
			t.Errorf("%s: got response %+v with length %d, want status %d, body %q and length %d", test.name, resp, size,
				test.status, test.body, test.length)
		}
	}
}

// FuzzParseResponse parses arbitrary bytes. It checks that the parser does not panic, that a parsed response lies
// within the input and the size limits, and that the response without its last byte is reported as incomplete.
func FuzzParseResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 3\r\n\r\nabcX")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 503 Full\r\nNot-Begun: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		resp, size, err := parseResponse([]byte(text))
		switch {
		case (resp != nil) != (size > 0) || resp != nil && err != nil || size > len(text):
			t.Fatalf("inconsistent results: response %v, length %d of %d, error %v", resp, size, len(text), err)
		case resp == nil:
			return
		case len(resp.body) > maxBody || len(resp.body) > size:
			t.Fatalf("body of %d bytes in a response of %d bytes", len(resp.body), size)
		}
		if early, _, err := parseResponse([]byte(text[:size-1])); early != nil || err != nil {
			t.Fatalf("input without its last byte: response %v, error %v; want neither", early, err)
		}
	})
}

// Guards against heads that are large in memory for their length, or are parsed although they are too long: the number of
// headers and the length of a head are bounded.
func TestResponseHeadIsBounded(t *testing.T) {
	head := func(fields int, value string) []byte {
		return []byte("HTTP/1.1 204 No Content\r\n" + strings.Repeat("a:"+value+"\r\n", fields) + "\r\n")
	}
	for _, test := range []struct {
		name  string
		text  []byte
		valid bool
	}{
		{"as many headers as allowed", head(maxHeaderFields, "1"), true},
		{"more headers than allowed", head(maxHeaderFields+1, "1"), false},
		{"a head that is too long", head(1, strings.Repeat("x", maxHead)), false},
	} {
		resp, _, err := parseResponse(test.text)
		if valid := resp != nil && err == nil; valid != test.valid {
			t.Errorf("%s: response %v, error %v, want it to be valid: %v", test.name, resp, err, test.valid)
		}
	}
}

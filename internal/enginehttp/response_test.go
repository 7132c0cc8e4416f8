package enginehttp

import (
	"strings"
	"testing"
)

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
		{"cut head", "HTTP/1.1 200 OK\r\nContent-Le", "", 0, 0, ""},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", 0, 0, ""},
		{"no HTTP", "hello\r\n\r\n", "status line", 0, 0, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "content-length", 0, 0, ""},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "content-length", 0, 0, ""},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", "content-length", 0, 0, ""},
		{"bad header", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n", "header line", 0, 0, ""},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "chunk size", 0, 0, ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "two lengths", 0, 0, ""},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "content-length", 0, 0, ""},
		{"chunks of 3 GB", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n", "chunk size", 0, 0, ""},
		{"cut chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", "", 0, 0, ""},
		{
			"endless chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 65),
			"chunk size without end", 0, 0, "",
		},
		{
			"long chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
			"chunk longer than its size", 0, 0, "",
		},
		{
			"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Load: 1\r\n\r\n",
			"trailers after the last chunk", 0, 0, "",
		},
		{
			"chunks of over 16 KiB together", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n1\r\nx\r\n0\r\n\r\n",
			"bad chunk size \"1\"", 0, 0, "",
		},
		{"endless head", strings.Repeat("x", 9<<10), "without end", 0, 0, ""},
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
			t.Errorf("%s: %+v, length %d", test.name, resp, size)
		}
	}
}

// FuzzParseResponse parses arbitrary bytes of an engine: it never panics, a response lies within the bounds and
// within the bytes, and the same bytes without the last one are incomplete.
func FuzzParseResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 3\r\n\r\nabcX")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 503 Full\r\nNot-Begun: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		resp, size, err := parseResponse([]byte(text))
		switch {
		case (resp != nil) != (size > 0) || resp != nil && err != nil || size > len(text):
			t.Fatalf("response %v, length %d of %d, error %v", resp, size, len(text), err)
		case resp == nil:
			return
		case len(resp.body) > maxBody || len(resp.body) > size:
			t.Fatalf("body of %d bytes out of %d", len(resp.body), size)
		}
		if early, _, err := parseResponse([]byte(text[:size-1])); early != nil || err != nil {
			t.Fatalf("without its last byte: %v, %v", early, err)
		}
	})
}

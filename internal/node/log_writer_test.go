package node

import (
	"io"
	"strings"
	"testing"
)

// Writing to the log does not block if nobody reads it. Lines that exceed the queue are counted, and their number is
// reported once the log is read again.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // a write blocks until the other end is read
	l := newLogWriter(w)
	reported := make(chan int64, 1)
	l.onDropped = func(n int64) { reported <- n }
	for range 2 * maxQueuedLines {
		if _, err := l.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	l.flush() // times out
	written := make(chan string)
	go func() {
		text, _ := io.ReadAll(r)
		written <- string(text)
	}()
	dropped := <-reported
	l.flush()
	_ = w.Close()
	if n := int64(strings.Count(<-written, "a line\n")); n+dropped != 2*maxQueuedLines || dropped == 0 {
		t.Errorf("%d lines were written and %d dropped, want %d together and some dropped", n, dropped, 2*maxQueuedLines)
	}
}

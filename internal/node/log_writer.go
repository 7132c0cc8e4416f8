package node

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxLines is how many lines of the log wait at most for whoever reads them; what comes beyond is dropped and counted.
	maxLines = 1024
	// flushWithin bounds the wait for the last lines at the end.
	flushWithin = 500 * time.Millisecond
)

// lines writes the log in a goroutine of its own. It guards against a loop that stands still for as long as the pipe or
// disk that the log goes to does not take more.
type lines struct {
	to      io.Writer
	queue   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
	tell    func(dropped int64) // of lines that were dropped, once there is room again
}

func newLines(to io.Writer) *lines {
	l := &lines{to: to, queue: make(chan []byte, maxLines), flushed: make(chan chan struct{}), tell: func(int64) {}}
	go l.run()
	return l
}

// Write implements io.Writer; it never blocks.
func (l *lines) Write(b []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(b):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

func (l *lines) run() {
	for {
		select {
		case line := <-l.queue:
			l.put(line)
		case done := <-l.flushed:
			for len(l.queue) > 0 {
				l.put(<-l.queue)
			}
			close(done)
		}
	}
}

func (l *lines) put(line []byte) {
	_, _ = l.to.Write(line)
	if n := l.dropped.Swap(0); n > 0 {
		l.tell(n)
	}
}

// flush waits until what was written so far has gone out, or its time is up.
func (l *lines) flush() {
	done := make(chan struct{})
	late := time.After(flushWithin)
	select {
	case l.flushed <- done:
	case <-late:
		return
	}
	select {
	case <-done:
	case <-late:
	}
}

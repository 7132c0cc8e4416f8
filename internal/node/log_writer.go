package node

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines of the log wait at most to be read; further ones are dropped and
	// counted.
	maxQueuedLines = 1024
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 500 * time.Millisecond
)

// logger makes the program's log, and what flushes its last lines.
func (o Options) logger() (log *slog.Logger, flush func()) {
	out := newLogWriter(os.Stderr)
	level := slog.LevelInfo
	if o.Debug {
		level = slog.LevelDebug
	}
	options := &slog.HandlerOptions{Level: level}
	if log = slog.New(slog.NewTextHandler(out, options)); o.JSON {
		log = slog.New(slog.NewJSONHandler(out, options))
	}
	out.onDropped = func(n int64) { log.Warn("log lines dropped", "lines", n) }
	return log, out.flush
}

// logWriter writes the log in a goroutine of its own. It guards against a loop that blocks for as long as the
// pipe or disk that the log goes to does not take more. Its goroutine lives as long as the process, which logs to its
// end.
type logWriter struct {
	out       io.Writer
	queue     chan []byte
	flushes   chan chan struct{}
	dropped   atomic.Int64
	onDropped func(lines int64) // called once there is room again
}

func newLogWriter(out io.Writer) *logWriter {
	l := &logWriter{
		out: out, queue: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{}), onDropped: func(int64) {},
	}
	go l.run()
	return l
}

// Write implements io.Writer; it never blocks.
func (l *logWriter) Write(b []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(b):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

func (l *logWriter) run() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case done := <-l.flushes:
			for len(l.queue) > 0 {
				l.write(<-l.queue)
			}
			close(done)
		}
	}
}

func (l *logWriter) write(line []byte) {
	_, _ = l.out.Write(line)
	if n := l.dropped.Swap(0); n > 0 {
		l.onDropped(n)
	}
}

// flush waits until what was written so far has gone out, or its time is up.
func (l *logWriter) flush() {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case l.flushes <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

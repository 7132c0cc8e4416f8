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
	// maxQueuedLines is how many log lines can wait to be written. Further lines are dropped and counted.
	maxQueuedLines = 1024
	// flushTimeout bounds the wait for the last lines when the process exits.
	flushTimeout = 500 * time.Millisecond
)

// logger returns the program's logger, which writes to standard error, and a function that flushes it before the exit.
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

// logWriter writes the log in a goroutine of its own, so that the event loop does not block while the log's pipe or
// disk accepts no data. The goroutine runs until the process exits, since the process logs until then.
type logWriter struct {
	out       io.Writer
	queue     chan []byte
	flushes   chan chan struct{}
	dropped   atomic.Int64
	onDropped func(lines int64) // called once a line has been written after lines were dropped
}

func newLogWriter(out io.Writer) *logWriter {
	l := &logWriter{
		out: out, queue: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{}), onDropped: func(int64) {},
	}
	go l.run()
	return l
}

// Write implements io.Writer. It never blocks and never fails: if the queue is full, it drops the line.
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

// flush waits until all queued lines are written, for flushTimeout at most.
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

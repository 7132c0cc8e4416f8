package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// post is a statement that arrived at an engine as a whole.
type post struct {
	at                time.Time
	engine, id, class string
	statement         string
	refused           bool
}

// recorder writes what was sent, answered and run, with times in seconds from its start, and keeps the statements that
// arrived at engines.
type recorder struct {
	began time.Time

	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	posts []post
	// running are the processes that the case has started.
	running []*os.Process
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *recorder) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *recorder) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) post(arrived post) {
	r.mu.Lock()
	r.posts = append(r.posts, arrived)
	r.mu.Unlock()
	r.noteAt(arrived.at, "engine %s: POST %s %s, refused %v", arrived.engine, arrived.class, arrived.id, arrived.refused)
}

// arrived returns the statements that have arrived so far.
func (r *recorder) arrived() []post {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]post(nil), r.posts...)
}

// started adds a process, which abort kills.
func (r *recorder) started(process *os.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = append(r.running, process)
}

// abort kills the processes of the case and closes the record.
func (r *recorder) abort() {
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	for _, process := range running {
		_ = process.Kill()
	}
	r.close()
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

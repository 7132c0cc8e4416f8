package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with its time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.started) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  ", r.since().Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// verdict writes the result of the case to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.printf("verdict: "+format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

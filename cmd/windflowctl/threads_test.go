package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A long uninterruptible wait must be printed with its length, and each state must be in the summary, including the
// last one before the process ended. The name of the thread has parentheses, which a parser of /proc could mistake for
// the end of the name.
func TestThreadWatchPrintsUninterruptibleWaits(t *testing.T) {
	proc := t.TempDir()
	writeThread := func(tid, state, channel string) {
		dir := filepath.Join(proc, "71", "task", tid)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		for name, text := range map[string]string{
			"stat": tid + " (wind) R (flow) " + state + " 1 71", "wchan": channel,
		} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	var out strings.Builder
	w := newThreadWatch(300*time.Millisecond, &out)
	for i := range 10 {
		writeThread("71", "S", "ep_poll")
		writeThread("72", "S", "futex_wait_queue")
		if i >= 3 && i < 8 {
			writeThread("72", "D", "expand_files")
		}
		if err := os.WriteFile(filepath.Join(proc, "71", "comm"), []byte("windflow\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		w.add(time.Duration(i)*100*time.Millisecond, sampleThreads(proc, "windflow", nil))
		if got := sampleThreads(proc, "other", nil); len(got) != 0 {
			t.Fatalf("threads of a process named other: %v, want none", got)
		}
	}
	w.add(time.Second, nil)
	if err := w.summarize(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"    0.3 s: process 71, thread 72 waited 0.4 s in expand_files\n",
		"S      ep_poll           10       0.9\n", "D      expand_files      5        0.4\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output does not contain %q:\n%s", want, out.String())
		}
	}
}

// The command must fail if it finds no process, and if the time between samples is not positive.
func TestThreadsCommandErrors(t *testing.T) {
	_, _, err := run(t, "threads", "--name", "no such process", "--every", "1ms", "--for", "3ms")
	if err == nil || !strings.Contains(err.Error(), "no such process") {
		t.Errorf("no process: error %v, want \"no such process\" in it", err)
	}
	if _, _, err := run(t, "threads", "--every", "0s"); err == nil || !strings.Contains(err.Error(), "--every") {
		t.Errorf("--every 0s: error %v, want \"--every\" in it", err)
	}
}

package fleettest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keptLogLines is the minimum number of lines of a process's log that are kept for the report of a failed test.
const keptLogLines = 40

// maxLogLine is the size in bytes of the buffer for one line of a log. Longer lines are read in pieces.
const maxLogLine = 64 << 10

// Process is a process that a Harness started.
type Process struct {
	Name string
	PID  int

	harness *Harness
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	ready   chan string   // lines of the readiness descriptor; closed when the process ends
	ended   chan struct{} // closed when the process has ended

	mu           sync.Mutex
	exitError    error
	lineCounts   map[string]int // number of log lines that contain a watched text, by that text
	revisions    Revisions      // that were in force according to the log
	lastLines    []string
	changed      chan struct{} // closed and replaced when lineCounts or revisions change
	endRequested bool          // the test has requested the end of the process
}

func newProcess(h *Harness, name string, cmd *exec.Cmd, watchedTexts []string) *Process {
	p := &Process{
		Name: name, harness: h, cmd: cmd,
		ready:      make(chan string, maxReadinessLines),
		ended:      make(chan struct{}),
		lineCounts: map[string]int{},
		changed:    make(chan struct{}),
	}
	for _, text := range watchedTexts {
		p.lineCounts[text] = 0
	}
	return p
}

// readLog reads the log until its end.
func (p *Process) readLog(log io.Reader) {
	for lines := bufio.NewReaderSize(log, maxLogLine); ; {
		line, err := lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
		p.recordLine(line)
	}
}

// recordLine updates the counts and revisions by one line of the log.
func (p *Process) recordLine(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for text := range p.lineCounts {
		if bytes.Contains(line, []byte(text)) {
			p.lineCounts[text]++
			changed = true
		}
	}
	if revision, ok := parseRevisionInForce(line); ok {
		p.revisions.record(revision, "", time.Now())
		changed = true
	}
	p.lastLines = append(p.lastLines, strings.TrimSpace(string(line)))
	if len(p.lastLines) > 2*keptLogLines {
		p.lastLines = append([]string(nil), p.lastLines[keptLogLines:]...)
	}
	if changed {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// parseRevisionInForce returns the revision that a router put in force according to a line of its log. It returns false
// for any other line.
func parseRevisionInForce(line []byte) (revision uint64, ok bool) {
	if !bytes.Contains(line, []byte(lineRevisionInForce)) {
		return 0, false
	}
	_, revisionText, _ := bytes.Cut(line, []byte(" revision="))
	n, err := fmt.Sscanf(string(revisionText), "%d", &revision)
	return revision, n == 1 && err == nil
}

// Log returns the most recent lines that the process logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lastLines, "\n")
}

// Ready waits until the process writes its readiness line, and returns the text after the word "ready".
func (p *Process) Ready() string {
	p.harness.T.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	select {
	case line, open := <-p.ready:
		if details, ok := strings.CutPrefix(line, "ready"); open && ok {
			return strings.TrimSpace(details)
		}
		p.harness.T.Fatalf("%s: got the readiness line %q, want one that begins with \"ready\":\n%s", p.Name, line, p.Log())
	case <-timeout.C:
		p.harness.T.Fatalf("%s: not ready within %v:\n%s", p.Name, WaitTimeout, p.Log())
	}
	return ""
}

// LineCount returns the number of log lines so far that contain a watched text.
func (p *Process) LineCount(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lineCounts[text]
}

// Await waits until at least n lines of the log have contained a text that was passed to Start as a watched text.
func (p *Process) Await(text string, n int) {
	p.harness.T.Helper()
	p.await(fmt.Sprintf("%d lines with %q", n, text), func() bool { return p.lineCounts[text] >= n })
}

// await waits until ok returns true; it is called with the lock held. condition describes it for failure messages.
func (p *Process) await(condition string, ok func() bool) {
	p.harness.T.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		met, changed := ok(), p.changed
		p.mu.Unlock()
		if met {
			return
		}
		select {
		case <-changed:
		case <-p.ended:
			p.harness.T.Fatalf("%s: ended while the test waited for %s:\n%s", p.Name, condition, p.Log())
		case <-timeout.C:
			p.harness.T.Fatalf("%s: timeout after %v while waiting for %s:\n%s", p.Name, WaitTimeout, condition, p.Log())
		}
	}
}

// WriteLine writes a line to the standard input of the process.
func (p *Process) WriteLine(line string) {
	p.harness.T.Helper()
	if _, err := io.WriteString(p.stdin, line+"\n"); err != nil {
		p.harness.T.Fatalf("%s: %v\n%s", p.Name, err, p.Log())
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.harness.T.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.harness.T.Fatalf("%s: %v: %v", p.Name, signal, err)
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.endRequested = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// End kills the process and waits until it has ended. It fails the test if the process had ended before without a
// request of the test.
func (p *Process) End() {
	p.mu.Lock()
	requested := p.endRequested
	p.endRequested = true
	p.mu.Unlock()
	select {
	case <-p.ended:
		if !requested {
			p.harness.T.Errorf("%s (process %d) ended unexpectedly: %v\n%s", p.Name, p.PID, p.exitError, p.Log())
		}
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	if p.harness.T.Failed() && !requested {
		p.harness.T.Logf("%s (%d):\n%s", p.Name, p.PID, p.Log())
	}
}

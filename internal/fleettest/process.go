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

// keptLogLines is how many lines of a process's log are kept for the report of a test that fails.
const keptLogLines = 40

// maxLogLine is the buffer for one line of a log, in bytes; a longer one is read in pieces.
const maxLogLine = 64 << 10

// Process is a process that a harness started.
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
	lineCounts   map[string]int // lines of its log that contain a watched text
	revisions    Revisions      // that are in force by its log
	lastLines    []string
	changed      chan struct{} // closed and replaced when lineCounts or revisions have changed
	endRequested bool          // the test requested its end
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

// readLog reads the log until it ends.
func (p *Process) readLog(log io.Reader) {
	for lines := bufio.NewReaderSize(log, maxLogLine); ; {
		line, err := lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
		p.recordLine(line)
	}
}

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

// parseRevisionInForce reads the revision out of a line that says which one a router has in force.
func parseRevisionInForce(line []byte) (revision uint64, ok bool) {
	if !bytes.Contains(line, []byte(lineRevisionInForce)) {
		return 0, false
	}
	_, revisionText, _ := bytes.Cut(line, []byte(" revision="))
	n, err := fmt.Sscanf(string(revisionText), "%d", &revision)
	return revision, n == 1 && err == nil
}

// Log returns the last lines that the process logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lastLines, "\n")
}

// Ready waits until the process says that it is ready, and returns the details of its readiness line.
func (p *Process) Ready() string {
	p.harness.T.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	select {
	case line, open := <-p.ready:
		if details, ok := strings.CutPrefix(line, "ready"); open && ok {
			return strings.TrimSpace(details)
		}
		p.harness.T.Fatalf("%s: wrote %q in place of ready:\n%s", p.Name, line, p.Log())
	case <-timeout.C:
		p.harness.T.Fatalf("%s: not ready within %v:\n%s", p.Name, WaitTimeout, p.Log())
	}
	return ""
}

// LineCount is how many lines of the log have contained a watched text.
func (p *Process) LineCount(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lineCounts[text]
}

// Await waits until as many lines of the log have contained a text that was watched from the start.
func (p *Process) Await(text string, n int) {
	p.harness.T.Helper()
	p.await(fmt.Sprintf("%d lines with %q", n, text), func() bool { return p.lineCounts[text] >= n })
}

// await waits until a condition of the log is met; it is evaluated under the lock.
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
			p.harness.T.Fatalf("%s: ended before %s:\n%s", p.Name, condition, p.Log())
		case <-timeout.C:
			p.harness.T.Fatalf("%s: not %s within %v:\n%s", p.Name, condition, WaitTimeout, p.Log())
		}
	}
}

// WriteLine writes a line to the process's standard input.
func (p *Process) WriteLine(line string) {
	p.harness.T.Helper()
	if _, err := io.WriteString(p.stdin, line+"\n"); err != nil {
		p.harness.T.Fatalf("%s: %v\n%s", p.Name, err, p.Log())
	}
}

// Signal sends the process a signal.
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

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// End ends the process. It fails the test if the process had ended by itself before.
func (p *Process) End() {
	p.mu.Lock()
	requested := p.endRequested
	p.endRequested = true
	p.mu.Unlock()
	select {
	case <-p.ended:
		if !requested {
			p.harness.T.Errorf("%s (%d) ended by itself: %v\n%s", p.Name, p.PID, p.exitError, p.Log())
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

package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The bounds of all that one test run starts.
const (
	MaxProcesses = 300
	MaxMemory    = 8 << 30 // bytes resident, all processes together
	// WaitTimeout is how long anything may take that a test waits for: far beyond what it takes on a busy machine.
	WaitTimeout = 60 * time.Second
	// memoryCheckInterval is how often the memory of all processes is added up.
	memoryCheckInterval = 250 * time.Millisecond
	keptLogLines        = 40 // of a process's log, for a test that fails
)

// Harness starts processes for one test and ends them with it, each by its id, also where the test fails.
type Harness struct {
	T   testing.TB
	Dir string // of its own; the path is short, since sockets lie below it
}

// liveProcesses are the processes that live, of every test of this run.
var liveProcesses = struct {
	sync.Mutex
	of   map[*Process]bool
	over string // why they were ended for their memory
	scan sync.Once
}{of: map[*Process]bool{}}

// New returns a rig for a test.
func New(t testing.TB) *Harness {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return &Harness{T: t, Dir: dir}
}

// processStarter starts processes from one thread that never ends: the system ends them when the thread that started them does,
// which is when the test run itself is killed.
var processStarter = sync.OnceValue(func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// Process is one that a rig started.
type Process struct {
	Name string
	PID  int

	harness   *Harness
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	ready     chan string   // its lines on the descriptor of readiness; closed at its end
	ended     chan struct{} // closed once it has ended
	exitError error         // of its end

	mu           sync.Mutex
	lineCounts   map[string]int // lines of its log that contain a text, for texts that were asked for
	revisions    Revisions      // that its log says are in force
	lastLines    []string
	changed      chan struct{} // closed and replaced when seen or revisions have changed
	endRequested bool          // its end was asked for
}

// Start starts a command. Descriptor 3 of it is one of readiness, whose number it finds in WINDFLOW_READY_FD; its log is
// read for texts that are watched. It fails the test past the bounds.
func (r *Harness) Start(name string, cmd *exec.Cmd, watched ...string) *Process {
	r.T.Helper()
	liveProcesses.scan.Do(func() { go watchMemory() })
	liveProcesses.Lock()
	n, over := len(liveProcesses.of), liveProcesses.over
	liveProcesses.Unlock()
	if n >= MaxProcesses || over != "" {
		r.T.Fatalf("%s is not started: %d processes of %d live; %s", name, n, MaxProcesses, over)
	}
	p := &Process{
		Name: name, harness: r, cmd: cmd, ready: make(chan string, 4096), ended: make(chan struct{}),
		lineCounts: map[string]int{}, changed: make(chan struct{}),
	}
	for _, w := range watched {
		p.lineCounts[w] = 0
	}
	tell, told, err := os.Pipe()
	if err != nil {
		r.T.Fatal(err)
	}
	cmd.ExtraFiles = []*os.File{told}
	cmd.Env = append(cmd.Env, "WINDFLOW_READY_FD=3", "TMPDIR="+r.Dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := cmd.StderrPipe()
	if err != nil {
		r.T.Fatal(err)
	}
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		r.T.Fatal(err)
	}
	started := make(chan error)
	processStarter() <- func() { started <- cmd.Start() }
	err = <-started
	_ = told.Close()
	if err != nil {
		r.T.Fatalf("%s: %v", name, err)
	}
	p.PID = cmd.Process.Pid
	liveProcesses.Lock()
	liveProcesses.of[p] = true
	liveProcesses.Unlock()
	r.T.Cleanup(p.End)
	var read sync.WaitGroup
	read.Add(2)
	go func() {
		defer read.Done()
		p.readLog(log)
	}()
	go func() {
		defer read.Done()
		defer close(p.ready)
		defer tell.Close()
		for lines := bufio.NewScanner(tell); lines.Scan(); {
			p.ready <- lines.Text()
		}
	}()
	go func() {
		read.Wait()
		err := cmd.Wait()
		liveProcesses.Lock()
		delete(liveProcesses.of, p)
		liveProcesses.Unlock()
		p.mu.Lock()
		p.exitError = err
		p.mu.Unlock()
		close(p.ended)
	}()
	return p
}

func (p *Process) readLog(log io.Reader) {
	for lines := bufio.NewReaderSize(log, 64<<10); ; {
		line, err := lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
		p.mu.Lock()
		changed := false
		for text := range p.lineCounts {
			if bytes.Contains(line, []byte(text)) {
				p.lineCounts[text]++
				changed = true
			}
		}
		if revision, ok := parseRevisionInForce(line); ok {
			p.revisions.adopt(revision, "", time.Now())
			changed = true
		}
		if p.lastLines = append(p.lastLines, strings.TrimSpace(string(line))); len(p.lastLines) > 2*keptLogLines {
			p.lastLines = append([]string(nil), p.lastLines[keptLogLines:]...)
		}
		if changed {
			close(p.changed)
			p.changed = make(chan struct{})
		}
		p.mu.Unlock()
	}
}

// parseRevisionInForce reads the revision out of a line that says which one a router has in force.
func parseRevisionInForce(line []byte) (revision uint64, ok bool) {
	if !bytes.Contains(line, []byte(lineRevisionInForce)) {
		return 0, false
	}
	_, rest, _ := bytes.Cut(line, []byte(" revision="))
	n, err := fmt.Sscanf(string(rest), "%d", &revision)
	return revision, n == 1 && err == nil
}

// Log gives the last lines that the process logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lastLines, "\n")
}

// Ready waits for the process's line of readiness and gives what stands behind the word.
func (p *Process) Ready() string {
	p.harness.T.Helper()
	late := time.NewTimer(WaitTimeout)
	defer late.Stop()
	select {
	case line, open := <-p.ready:
		if rest, ok := strings.CutPrefix(line, "ready"); open && ok {
			return strings.TrimSpace(rest)
		}
		p.harness.T.Fatalf("%s: said %q in place of ready:\n%s", p.Name, line, p.Log())
	case <-late.C:
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

// await waits until the log has said something; ok is asked with the lock held.
func (p *Process) await(what string, ok func() bool) {
	p.harness.T.Helper()
	late := time.NewTimer(WaitTimeout)
	defer late.Stop()
	for {
		p.mu.Lock()
		there, news := ok(), p.changed
		p.mu.Unlock()
		if there {
			return
		}
		select {
		case <-news:
		case <-p.ended:
			p.harness.T.Fatalf("%s: ended before %s:\n%s", p.Name, what, p.Log())
		case <-late.C:
			p.harness.T.Fatalf("%s: not %s within %v:\n%s", p.Name, what, WaitTimeout, p.Log())
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
func (p *Process) Signal(s syscall.Signal) {
	p.harness.T.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.harness.T.Fatalf("%s: %v: %v", p.Name, s, err)
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

// End ends the process for good; one that had ended by itself, and not by the test's will, fails the test.
func (p *Process) End() {
	p.mu.Lock()
	asked := p.endRequested
	p.endRequested = true
	p.mu.Unlock()
	select {
	case <-p.ended:
		if !asked {
			p.harness.T.Errorf("%s (%d) ended by itself: %v\n%s", p.Name, p.PID, p.exitError, p.Log())
		}
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	if p.harness.T.Failed() && !asked {
		p.harness.T.Logf("%s (%d):\n%s", p.Name, p.PID, p.Log())
	}
}

// watchMemory ends everything where it takes more memory than it may: the test then fails over processes that ended.
func watchMemory() {
	for range time.Tick(memoryCheckInterval) {
		liveProcesses.Lock()
		sum := int64(0)
		for p := range liveProcesses.of {
			sum += resident(p.PID)
		}
		if sum > MaxMemory {
			liveProcesses.over = fmt.Sprintf("all were ended: they took %d MB of %d", sum>>20, MaxMemory>>20)
			fmt.Fprintln(os.Stderr, "fleettest:", liveProcesses.over)
			for p := range liveProcesses.of {
				_ = p.cmd.Process.Kill()
			}
		}
		liveProcesses.Unlock()
	}
}

var programs struct {
	sync.Mutex
	at  string
	err error
}

// programsEnv names a folder with the programs of another version, to be measured by hand in place of those of this one.
const programsEnv = "WINDFLOW_FLEET_PROGRAMS"

// Programs builds the programs as deploy/balancer.toml says, once for a test run, and gives the folder that they are in.
func Programs(t testing.TB) string {
	t.Helper()
	if other := os.Getenv(programsEnv); other != "" {
		return other
	}
	programs.Lock()
	defer programs.Unlock()
	if programs.at == "" && programs.err == nil {
		programs.at, programs.err = build()
	}
	if programs.err != nil {
		t.Fatal(programs.err)
	}
	return programs.at
}

func build() (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("go list -m: %w", err)
	}
	dir, err := os.MkdirTemp("", "wfbin")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = strings.TrimSpace(string(root))
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return dir, nil
}

// Main runs the tests of a package that uses the rig, from its TestMain; where a test has started the test binary again for
// another part, it plays that part instead.
func Main(m *testing.M) {
	if role := os.Getenv(roleEnv); role != "" {
		if err := playRole(role); err != nil {
			fmt.Fprintln(os.Stderr, "fleettest:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if programs.at != "" {
		_ = os.RemoveAll(programs.at)
	}
	os.Exit(code)
}

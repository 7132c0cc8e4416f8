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
	// Patience is how long anything may take that a test waits for: far beyond what it takes on a busy machine.
	Patience = 60 * time.Second
	// weighEvery is how often the memory of all processes is added up.
	weighEvery = 250 * time.Millisecond
	keepLines  = 40 // of a process's log, for a test that fails
)

// Rig starts processes for one test and ends them with it, each by its id, also where the test fails.
type Rig struct {
	T   testing.TB
	Dir string // of its own; the path is short, since sockets lie below it
}

// all are the processes that live, of every test of this run.
var all = struct {
	sync.Mutex
	of   map[*Process]bool
	over string // why they were ended for their memory
	scan sync.Once
}{of: map[*Process]bool{}}

// New returns a rig for a test.
func New(t testing.TB) *Rig {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return &Rig{T: t, Dir: dir}
}

// starter starts processes from one thread that never ends: the system ends them when the thread that started them does,
// which is when the test run itself is killed.
var starter = sync.OnceValue(func() chan func() {
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

	rig   *Rig
	cmd   *exec.Cmd
	in    io.WriteCloser
	ready chan string   // its lines on the descriptor of readiness; closed at its end
	ended chan struct{} // closed once it has ended
	err   error         // of its end

	mu        sync.Mutex
	seen      map[string]int // lines of its log that contain a text, for texts that were asked for
	revisions Revisions      // that its log says are in force
	last      []string
	news      chan struct{} // closed and replaced when seen or revisions have changed
	asked     bool          // its end was asked for
}

// Start starts a command. Descriptor 3 of it is one of readiness, whose number it finds in WINDFLOW_READY_FD; its log is
// read for texts that are watched. It fails the test past the bounds.
func (r *Rig) Start(name string, cmd *exec.Cmd, watched ...string) *Process {
	r.T.Helper()
	all.scan.Do(func() { go weigh() })
	all.Lock()
	n, over := len(all.of), all.over
	all.Unlock()
	if n >= MaxProcesses || over != "" {
		r.T.Fatalf("%s is not started: %d processes of %d live; %s", name, n, MaxProcesses, over)
	}
	p := &Process{
		Name: name, rig: r, cmd: cmd, ready: make(chan string, 4096), ended: make(chan struct{}),
		seen: map[string]int{}, news: make(chan struct{}),
	}
	for _, w := range watched {
		p.seen[w] = 0
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
	if p.in, err = cmd.StdinPipe(); err != nil {
		r.T.Fatal(err)
	}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	err = <-started
	_ = told.Close()
	if err != nil {
		r.T.Fatalf("%s: %v", name, err)
	}
	p.PID = cmd.Process.Pid
	all.Lock()
	all.of[p] = true
	all.Unlock()
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
		all.Lock()
		delete(all.of, p)
		all.Unlock()
		p.mu.Lock()
		p.err = err
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
		for text := range p.seen {
			if bytes.Contains(line, []byte(text)) {
				p.seen[text]++
				changed = true
			}
		}
		if revision, ok := inForce(line); ok {
			p.revisions.take(revision, "", time.Now())
			changed = true
		}
		if p.last = append(p.last, strings.TrimSpace(string(line))); len(p.last) > 2*keepLines {
			p.last = append([]string(nil), p.last[keepLines:]...)
		}
		if changed {
			close(p.news)
			p.news = make(chan struct{})
		}
		p.mu.Unlock()
	}
}

// inForce reads the revision out of a line that says which one a router has in force.
func inForce(line []byte) (revision uint64, ok bool) {
	if !bytes.Contains(line, []byte(lineInForce)) {
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
	return strings.Join(p.last, "\n")
}

// Ready waits for the process's line of readiness and gives what stands behind the word.
func (p *Process) Ready() string {
	p.rig.T.Helper()
	late := time.NewTimer(Patience)
	defer late.Stop()
	select {
	case line, open := <-p.ready:
		if rest, ok := strings.CutPrefix(line, "ready"); open && ok {
			return strings.TrimSpace(rest)
		}
		p.rig.T.Fatalf("%s: said %q in place of ready:\n%s", p.Name, line, p.Log())
	case <-late.C:
		p.rig.T.Fatalf("%s: not ready within %v:\n%s", p.Name, Patience, p.Log())
	}
	return ""
}

// Seen is how many lines of the log have contained a watched text.
func (p *Process) Seen(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[text]
}

// Await waits until as many lines of the log have contained a text that was watched from the start.
func (p *Process) Await(text string, n int) {
	p.rig.T.Helper()
	p.await(fmt.Sprintf("%d lines with %q", n, text), func() bool { return p.seen[text] >= n })
}

// await waits until the log has said something; ok is asked with the lock held.
func (p *Process) await(what string, ok func() bool) {
	p.rig.T.Helper()
	late := time.NewTimer(Patience)
	defer late.Stop()
	for {
		p.mu.Lock()
		there, news := ok(), p.news
		p.mu.Unlock()
		if there {
			return
		}
		select {
		case <-news:
		case <-p.ended:
			p.rig.T.Fatalf("%s: ended before %s:\n%s", p.Name, what, p.Log())
		case <-late.C:
			p.rig.T.Fatalf("%s: not %s within %v:\n%s", p.Name, what, Patience, p.Log())
		}
	}
}

// Say writes a line to the process's standard input.
func (p *Process) Say(line string) {
	p.rig.T.Helper()
	if _, err := io.WriteString(p.in, line+"\n"); err != nil {
		p.rig.T.Fatalf("%s: %v\n%s", p.Name, err, p.Log())
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.rig.T.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.rig.T.Fatalf("%s: %v: %v", p.Name, s, err)
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.asked = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// End ends the process for good; one that had ended by itself, and not by the test's will, fails the test.
func (p *Process) End() {
	p.mu.Lock()
	asked := p.asked
	p.asked = true
	p.mu.Unlock()
	select {
	case <-p.ended:
		if !asked {
			p.rig.T.Errorf("%s (%d) ended by itself: %v\n%s", p.Name, p.PID, p.err, p.Log())
		}
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	if p.rig.T.Failed() && !asked {
		p.rig.T.Logf("%s (%d):\n%s", p.Name, p.PID, p.Log())
	}
}

// weigh ends everything where it takes more memory than it may: the test then fails over processes that ended.
func weigh() {
	for range time.Tick(weighEvery) {
		all.Lock()
		sum := int64(0)
		for p := range all.of {
			sum += resident(p.PID)
		}
		if sum > MaxMemory {
			all.over = fmt.Sprintf("all were ended: they took %d MB of %d", sum>>20, MaxMemory>>20)
			fmt.Fprintln(os.Stderr, "fleettest:", all.over)
			for p := range all.of {
				_ = p.cmd.Process.Kill()
			}
		}
		all.Unlock()
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
		if err := play(role); err != nil {
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

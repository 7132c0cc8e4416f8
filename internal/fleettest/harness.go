package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// MaxProcesses is how many processes one test run has at most.
	MaxProcesses = 300
	// MaxMemory is the resident memory of all of them in bytes, at most.
	MaxMemory = 8 << 30
	// WaitTimeout is how long anything may take that a test waits for: far beyond what it takes on a busy machine.
	WaitTimeout = 60 * time.Second

	// memoryCheckInterval is how often the memory of all processes is added up.
	memoryCheckInterval = 250 * time.Millisecond
	// maxReadinessLines is how many lines of a process's readiness descriptor wait to be read.
	maxReadinessLines = 4096
	// readinessDescriptor is the number of that descriptor in the process: the first one after the standard ones.
	readinessDescriptor = 3
)

// Harness starts processes for one test and ends them with it, each by its id, also when the test fails.
type Harness struct {
	T   testing.TB
	Dir string // the test's own folder; its path is short, since Unix sockets are made below it
}

// New returns a harness for a test.
func New(tb testing.TB) *Harness {
	tb.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(dir) })
	return &Harness{T: tb, Dir: dir}
}

// Start starts a command. WINDFLOW_READY_FD tells the process the number of its readiness descriptor; lines of its
// log that contain a watched text are counted. It fails the test if MaxProcesses run already or MaxMemory was
// exceeded.
func (h *Harness) Start(name string, cmd *exec.Cmd, watchedTexts ...string) *Process {
	h.T.Helper()
	if err := liveProcesses.admit(); err != nil {
		h.T.Fatalf("%s is not started: %v", name, err)
	}
	p := newProcess(h, name, cmd, watchedTexts)
	readiness, log, err := p.launch()
	if err != nil {
		h.T.Fatalf("%s: %v", name, err)
	}
	liveProcesses.add(p)
	h.T.Cleanup(p.End)
	p.readUntilEnd(readiness, log)
	return p
}

// processStarter starts processes from one thread that lives as long as the test run: the system kills the processes
// when the thread that started them ends, so also when the test run is killed.
var processStarter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// launch starts the process and returns the ends of its readiness descriptor and of its log.
func (p *Process) launch() (readiness *os.File, log io.Reader, err error) {
	readiness, writeEnd, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	defer writeEnd.Close()
	p.cmd.ExtraFiles = []*os.File{writeEnd}
	p.cmd.Env = append(p.cmd.Env, fmt.Sprintf("WINDFLOW_READY_FD=%d", readinessDescriptor), "TMPDIR="+p.harness.Dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if log, err = p.cmd.StderrPipe(); err != nil {
		return nil, nil, err
	}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, nil, err
	}
	started := make(chan error)
	processStarter() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, nil, err
	}
	p.PID = p.cmd.Process.Pid
	return readiness, log, nil
}

// readUntilEnd reads what the process writes, and waits for its end, in goroutines that end with it.
func (p *Process) readUntilEnd(readiness *os.File, log io.Reader) {
	var readers sync.WaitGroup
	readers.Go(func() { p.readLog(log) })
	readers.Go(func() {
		defer close(p.ready)
		defer readiness.Close()
		for lines := bufio.NewScanner(readiness); lines.Scan(); {
			p.ready <- lines.Text()
		}
	})
	go func() {
		readers.Wait()
		err := p.cmd.Wait()
		liveProcesses.remove(p)
		p.mu.Lock()
		p.exitError = err
		p.mu.Unlock()
		close(p.ended)
	}()
}

// registry contains the live processes of all tests of a run, and ends them if they take too much memory.
type registry struct {
	mu         sync.Mutex
	processes  map[*Process]bool
	exceeded   error // MaxMemory was exceeded
	startWatch sync.Once
}

var liveProcesses = &registry{processes: map[*Process]bool{}}

// admit returns an error if no further process may be started.
func (r *registry) admit() error {
	r.startWatch.Do(func() { go r.watchMemory() }) // until the end of the test run
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exceeded != nil {
		return r.exceeded
	}
	if n := len(r.processes); n >= MaxProcesses {
		return fmt.Errorf("%d processes of %d run", n, MaxProcesses)
	}
	return nil
}

func (r *registry) add(p *Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[p] = true
}

func (r *registry) remove(p *Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.processes, p)
}

// watchMemory checks the memory of all processes periodically.
func (r *registry) watchMemory() {
	for range time.Tick(memoryCheckInterval) {
		r.checkMemory()
	}
}

// checkMemory kills all processes if they use more than MaxMemory: their tests fail because their processes ended.
func (r *registry) checkMemory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := int64(0)
	for p := range r.processes {
		sum += resident(p.PID)
	}
	if sum <= MaxMemory {
		return
	}
	r.exceeded = fmt.Errorf("all were ended: they took %d MB of %d", sum>>20, MaxMemory>>20)
	fmt.Fprintln(os.Stderr, "fleettest:", r.exceeded)
	for p := range r.processes {
		_ = p.cmd.Process.Kill()
	}
}

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
	// MaxProcesses is the maximum number of processes that run at a time in one test run.
	MaxProcesses = 300
	// MaxMemory is the maximum resident memory of all these processes together, in bytes.
	MaxMemory = 8 << 30
	// WaitTimeout limits each wait of a test. It is far longer than any wait takes on a busy machine.
	WaitTimeout = 60 * time.Second

	// memoryCheckInterval is the interval between checks of the memory of all processes.
	memoryCheckInterval = 250 * time.Millisecond
	// maxReadinessLines is how many lines from a process's readiness descriptor are buffered.
	maxReadinessLines = 4096
	// readinessDescriptor is the number of the readiness descriptor in the process: the first one after the standard
	// descriptors.
	readinessDescriptor = 3
)

// Harness starts processes for one test. At the end of the test, passed or failed, it ends each of them by its id.
type Harness struct {
	T   testing.TB
	Dir string // temporary folder of the test; its path is short, because Unix sockets are created below it
}

// New returns a harness for a test, and creates its folder.
func New(tb testing.TB) *Harness {
	tb.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(dir) })
	return &Harness{T: tb, Dir: dir}
}

// Start starts a command. The environment variable WINDFLOW_READY_FD passes the number of the readiness descriptor to
// the process. For each watched text, the lines of the process's log that contain it are counted. Start fails the test
// if MaxProcesses are already running or MaxMemory was exceeded.
func (h *Harness) Start(name string, cmd *exec.Cmd, watchedTexts ...string) *Process {
	h.T.Helper()
	if err := liveProcesses.admit(); err != nil {
		h.T.Fatalf("cannot start %s: %v", name, err)
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

// processStarter runs functions that start processes on one thread, which lives as long as the test run. The system
// kills each process when the thread that started it ends (Pdeathsig), and therefore also if the test run is killed.
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

// launch starts the process and returns the read ends of its readiness descriptor and of its log.
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

// readUntilEnd reads the process's output and waits for its end, in goroutines that return when the process has ended.
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

// registry contains the running processes of all tests of a run, and kills them if they use more than MaxMemory.
type registry struct {
	mu         sync.Mutex
	processes  map[*Process]bool
	exceeded   error // set once MaxMemory was exceeded
	startWatch sync.Once
}

var liveProcesses = &registry{processes: map[*Process]bool{}}

// admit returns an error if MaxProcesses are running or MaxMemory was exceeded.
func (r *registry) admit() error {
	r.startWatch.Do(func() { go r.watchMemory() }) // runs until the end of the test run
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exceeded != nil {
		return r.exceeded
	}
	if n := len(r.processes); n >= MaxProcesses {
		return fmt.Errorf("%d processes are running, at most %d are allowed", n, MaxProcesses)
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

// checkMemory kills all processes if they use more than MaxMemory together. Their tests then fail, because the processes
// ended unexpectedly.
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
	r.exceeded = fmt.Errorf("all processes were killed: they used %d MB, at most %d MB are allowed", sum>>20, MaxMemory>>20)
	fmt.Fprintln(os.Stderr, "fleettest:", r.exceeded)
	for p := range r.processes {
		_ = p.cmd.Process.Kill()
	}
}

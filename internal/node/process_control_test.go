package node

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopFor stops a process with SIGSTOP, and resumes it after the duration without waiting for that.
func (h *routerHarness) stopFor(p *exec.Cmd, duration time.Duration) {
	h.t.Helper()
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		h.t.Fatal(err)
	}
	time.AfterFunc(duration, func() { _ = p.Process.Signal(syscall.SIGCONT) })
}

// throttle limits a process to a tenth of its running time, until stop is called or the test ends.
func (h *routerHarness) throttle(p *exec.Cmd) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			_ = p.Process.Signal(syscall.SIGSTOP)
			time.Sleep(45 * time.Millisecond)
			_ = p.Process.Signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	stop = sync.OnceFunc(func() { close(done); <-ended })
	h.t.Cleanup(stop)
	return stop
}

// terminate sends SIGTERM to a process, waits for its end, and fails the test if its exit status is not 0.
func (h *routerHarness) terminate(p *exec.Cmd) {
	h.t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		h.t.Error("the router process failed:", err)
	}
}

// limitSockets changes the router's configured limit on descriptors from 1024 to sockets.
func (h *routerHarness) limitSockets(sockets int) {
	h.t.Helper()
	h.editConfig(func(text string) string {
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	})
}

// descriptorWatch counts the open descriptors of the tracked processes every 5 ms, and keeps the highest total.
type descriptorWatch struct {
	mu      sync.Mutex
	tracked map[int]bool // by process id
	peak    int
}

// run starts to count, until the test ends.
func (d *descriptorWatch) run(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			d.mu.Lock()
			sum := 0
			for pid := range d.tracked {
				files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
				sum += len(files)
			}
			d.peak = max(d.peak, sum)
			d.mu.Unlock()
		}
	}()
}

// track starts or stops counting the descriptors of a process.
func (d *descriptorWatch) track(p *exec.Cmd, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.tracked[p.Process.Pid] = true
	} else {
		delete(d.tracked, p.Process.Pid)
	}
}

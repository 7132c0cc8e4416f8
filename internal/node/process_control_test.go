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

// stopFor stops a process and resumes it after a while.
func (h *routerHarness) stopFor(p *exec.Cmd, duration time.Duration) {
	h.t.Helper()
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		h.t.Fatal(err)
	}
	time.AfterFunc(duration, func() { _ = p.Process.Signal(syscall.SIGCONT) })
}

// throttle limits a process to a tenth of its time until the end of the test, or until stop is called.
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

// terminate tells a process to end and waits until it has.
func (h *routerHarness) terminate(p *exec.Cmd) {
	h.t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		h.t.Error("at its end:", err)
	}
}

// limitSockets lowers the router's limit of descriptors.
func (h *routerHarness) limitSockets(sockets int) {
	h.t.Helper()
	h.editConfig(func(text string) string {
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	})
}

// descriptorWatch counts the descriptors of processes, again and again, and keeps the greatest sum.
type descriptorWatch struct {
	mu      sync.Mutex
	tracked map[int]bool
	peak    int
}

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

func (d *descriptorWatch) track(p *exec.Cmd, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.tracked[p.Process.Pid] = true
	} else {
		delete(d.tracked, p.Process.Pid)
	}
}

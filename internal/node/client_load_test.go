package node

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// hold stops a process and has it go on after a while.
func (f *fleet) hold(p *exec.Cmd, for_ time.Duration) {
	f.t.Helper()
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		f.t.Fatal(err)
	}
	time.AfterFunc(for_, func() { _ = p.Process.Signal(syscall.SIGCONT) })
}

// slow gives a process a tenth of its time until the end of the test, or until stop is called.
func (f *fleet) slow(p *exec.Cmd) (stop func()) {
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
	f.t.Cleanup(stop)
	return stop
}

// end tells a process to end and waits until it has.
func (f *fleet) end(p *exec.Cmd) {
	f.t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		f.t.Error("at its end:", err)
	}
}

// limit gives the router fewer descriptors.
func (f *fleet) limit(sockets int) {
	f.t.Helper()
	f.edit(func(text string) string {
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	})
}

// crowd is a number of clients that ask without end; each request is sent once, and once more where the router closed
// the connection without a word, as clients do.
type crowd struct {
	next, served, refused, back, lost atomic.Int64
	wrong                             atomic.Pointer[string]
	done                              chan struct{}
	wait                              sync.WaitGroup
}

func (f *fleet) crowd(clients int) *crowd {
	c := &crowd{done: make(chan struct{})}
	for range clients {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			var m *mysqlClient
			for {
				select {
				case <-c.done:
					return
				case <-time.After(4 * time.Millisecond):
				}
				n := int(c.next.Add(1))
				class := "lookup"
				if n%16 == 0 {
					class = "load"
				}
				for try := 0; ; try++ {
					var err error
					if m == nil {
						m, err = dialMySQL(f.clients.Addr().String())
					}
					rows, code := 0, 0
					if err == nil {
						_ = m.c.SetDeadline(time.Now().Add(25 * time.Second))
						rows, code, err = m.ask(query(class, 1<<20+n, "SELECT 1"))
					}
					if err == nil {
						switch {
						case code == 0 && rows == 1:
							c.served.Add(1)
						case code == 1040:
							c.refused.Add(1)
						default:
							text := fmt.Sprintf("request %d, a %s: %d rows, error %d", n, class, rows, code)
							c.wrong.Store(&text)
						}
						break
					}
					if m != nil {
						_ = m.c.Close()
						m = nil
					}
					if try > 0 {
						c.lost.Add(1)
						break
					}
					c.back.Add(1)
				}
			}
		}()
	}
	return c
}

func (c *crowd) stop(t *testing.T) {
	t.Helper()
	close(c.done)
	c.wait.Wait()
	t.Logf("%d requests: %d served, %d refused, %d sent again", c.next.Load(), c.served.Load(), c.refused.Load(), c.back.Load())
	if c.lost.Load() > 0 || c.wrong.Load() != nil || c.served.Load() == 0 {
		text := ""
		if c.wrong.Load() != nil {
			text = *c.wrong.Load()
		}
		t.Errorf("%d requests lost, %d served; %s", c.lost.Load(), c.served.Load(), text)
	}
}

// once fails if an engine ran a load of the crowd's twice; look-ups may be repeated.
func (e *slowEngine) once(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.ran {
		if n > 1 && strings.HasSuffix(id, "0") { // the sixteenth that are loads
			t.Errorf("load %s ran %d times", id, n)
		}
	}
}

// descriptors counts those of processes, again and again, and keeps the greatest sum.
type descriptors struct {
	mu   sync.Mutex
	of   map[int]bool
	most int
}

func (d *descriptors) watch(t *testing.T) {
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
			for pid := range d.of {
				files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
				sum += len(files)
			}
			d.most = max(d.most, sum)
			d.mu.Unlock()
		}
	}()
}

func (d *descriptors) set(p *exec.Cmd, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.of[p.Process.Pid] = true
	} else {
		delete(d.of, p.Process.Pid)
	}
}

package hotrestartipc

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"windflow/internal/decide/hotrestart"
)

// ProcessSlot is a process's place in the order of the processes of one router, and the folder that they share. Of each place
// there is a socket, on which newer processes find this one, and a file that the process keeps locked while it lives: the
// system gives the lock up with the process, whatever becomes of it, and one that is stopped keeps it.
type ProcessSlot struct {
	Process  hotrestart.ProcessNumber
	Listener *net.UnixListener
	base     string
	lock     *os.File
}

const (
	// rosterWithin bounds the wait for another process that is taking its place.
	rosterWithin = 2 * time.Second
	// dialWithin bounds a dial; a process that is stopped still has its connections come up.
	dialWithin = time.Second
)

// AcquireSlot takes the next place among the processes of the router of that name. Where none of them lives, what they
// left behind is removed, their bans too: a plain restart starts from nothing.
func AcquireSlot(dir, name string) (*ProcessSlot, error) {
	path, err := SocketPath(dir, name)
	if err != nil {
		return nil, err
	}
	p := &ProcessSlot{base: strings.TrimSuffix(path, ".sock")}
	roster, err := os.OpenFile(p.base+".roster", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer roster.Close() // gives the lock up
	for until := time.Now().Add(rosterWithin); ; time.Sleep(10 * time.Millisecond) {
		if err = flock(roster, syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("%s: another process is taking its place and does not go on: %w", roster.Name(), err)
		}
	}
	// The greatest place ever given is kept: one that was given again would be taken for the process that had it.
	last := hotrestart.FirstProcess - 1
	text := make([]byte, 32)
	n, _ := roster.ReadAt(text, 0)
	if v, err := strconv.ParseUint(strings.TrimSpace(string(text[:n])), 10, 48); err == nil {
		last = max(last, hotrestart.ProcessNumber(v))
	}
	anybody := p.legacy()
	for _, there := range p.places() {
		last = max(last, there)
		if p.Alive(there) {
			anybody = true
			continue
		}
		_ = os.Remove(p.socket(there))
		_ = os.Remove(p.lockFile(there))
	}
	if !anybody {
		_ = os.RemoveAll(p.bans())
	}
	p.Process = last + 1
	if _, err := roster.WriteAt([]byte(fmt.Sprintf("%-20d\n", p.Process)), 0); err != nil {
		return nil, err
	}
	if p.lock, err = os.OpenFile(p.lockFile(p.Process), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, err
	}
	err = flock(p.lock, syscall.LOCK_EX)
	if err == nil {
		_ = os.Remove(p.socket(p.Process))
		p.Listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: p.socket(p.Process), Net: "unix"})
	}
	if err == nil {
		p.Listener.SetUnlinkOnClose(false)
		err = os.Chmod(p.socket(p.Process), 0o600)
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *ProcessSlot) socket(of hotrestart.ProcessNumber) string {
	if of == hotrestart.LegacyPredecessor {
		return p.base + ".sock"
	}
	return fmt.Sprintf("%s.%d.sock", p.base, of)
}

func (p *ProcessSlot) lockFile(of hotrestart.ProcessNumber) string {
	return fmt.Sprintf("%s.%d.lock", p.base, of)
}
func (p *ProcessSlot) bans() string { return p.base + ".bans" }

// places gives those that have a file, living or not, in their order.
func (p *ProcessSlot) places() (all []hotrestart.ProcessNumber) {
	names, _ := filepath.Glob(p.base + ".*.lock")
	for _, name := range names {
		text := strings.TrimSuffix(strings.TrimPrefix(name, p.base+"."), ".lock")
		if n, err := strconv.ParseUint(text, 10, 48); err == nil && hotrestart.ProcessNumber(n) >= hotrestart.FirstProcess {
			all = append(all, hotrestart.ProcessNumber(n))
		}
	}
	slices.Sort(all)
	return all
}

// Alive tells whether the process of a place lives; one that is stopped does.
func (p *ProcessSlot) Alive(of hotrestart.ProcessNumber) bool {
	if of == hotrestart.LegacyPredecessor {
		return p.legacy()
	}
	f, err := os.Open(p.lockFile(of))
	if err != nil {
		// Short of descriptors it can't be told, and must not pass for an end.
		return !errors.Is(err, fs.ErrNotExist)
	}
	defer f.Close()
	return flock(f, syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

// legacy tells whether a process of version 1 waits where those do. A placed process is published there under its own
// socket's name, too, and does not count.
func (p *ProcessSlot) legacy() bool {
	at, err := os.Stat(p.socket(hotrestart.LegacyPredecessor))
	if err != nil {
		return false
	}
	for _, there := range p.places() {
		if own, err := os.Stat(p.socket(there)); err == nil && os.SameFile(at, own) {
			return false
		}
	}
	conn, err := Dial(p.socket(hotrestart.LegacyPredecessor), dialWithin)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, fs.ErrNotExist)
	}
	_ = conn.Close()
	return true
}

// Predecessor gives the newest living process before this one, or None.
func (p *ProcessSlot) Predecessor() hotrestart.ProcessNumber {
	for _, there := range slices.Backward(p.places()) {
		if there < p.Process && p.Alive(there) {
			return there
		}
	}
	if p.legacy() {
		return hotrestart.LegacyPredecessor
	}
	return hotrestart.NoProcess
}

// Connect connects to the process of a place.
func (p *ProcessSlot) Connect(of hotrestart.ProcessNumber) (*net.UnixConn, error) {
	return Dial(p.socket(of), dialWithin)
}

// PublishToLegacy has processes of version 1 find this one.
func (p *ProcessSlot) PublishToLegacy() error {
	mine := p.base + ".own"
	_ = os.Remove(mine)
	if err := os.Link(p.socket(p.Process), mine); err != nil {
		return err
	}
	err := os.Rename(mine, p.socket(hotrestart.LegacyPredecessor))
	_ = os.Remove(mine) // a rename onto another name of the same file leaves both
	return err
}

// Close gives the place up.
func (p *ProcessSlot) Close() {
	if p.Listener != nil {
		_ = p.Listener.Close()
	}
	own, err := os.Stat(p.socket(p.Process))
	if at, bad := os.Stat(p.socket(hotrestart.LegacyPredecessor)); err == nil && bad == nil && os.SameFile(at, own) {
		_ = os.Remove(p.socket(hotrestart.LegacyPredecessor))
	}
	_ = os.Remove(p.socket(p.Process))
	_ = os.Remove(p.lockFile(p.Process))
	if p.lock != nil {
		_ = p.lock.Close()
	}
}

// A ban by hand is an empty file, named for the engine, in a folder that all processes of the router read: it is in
// force for a process that starts while the one that was told of it hangs.

// SetCordon notes that an engine is out by hand, or is not any more; it may be told twice.
func (p *ProcessSlot) SetCordon(engine string, out bool) error {
	if !out {
		err := os.Remove(filepath.Join(p.bans(), engine))
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	if err := os.MkdirAll(p.bans(), 0o700); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(p.bans(), engine), os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	return f.Close()
}

// Cordoned lists the engines that are out by hand.
func (p *ProcessSlot) Cordoned() ([]string, error) {
	entries, err := os.ReadDir(p.bans())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var all []string
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return all, err
}

func flock(f *os.File, how int) error {
	return withFD(f, func(fd int) error {
		for {
			if err := syscall.Flock(fd, how); err != syscall.EINTR {
				return err
			}
		}
	})
}

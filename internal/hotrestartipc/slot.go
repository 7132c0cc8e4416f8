package hotrestartipc

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"windflow/internal/decide/hotrestart"
)

// dialTimeout limits a dial. A dial to a stopped process usually succeeds, since the kernel establishes the connection.
const dialTimeout = time.Second

// ProcessSlot is the position of a process in the order of one router's processes, and its access to the folder that
// they share. Each slot has a socket, on which later processes connect to this one, and a file that the process keeps
// locked while it is alive. The system releases the lock when the process ends for any reason; a process that is only
// stopped keeps it.
type ProcessSlot struct {
	Process  hotrestart.ProcessNumber
	Listener *net.UnixListener
	paths    slotPaths
	lock     *os.File
}

// AcquireSlot acquires in folder dir the next slot among the processes of the router with the given name. If none of
// them is alive, it removes their files, including the cordons: after a restart that is not a hot restart, nothing of
// the previous state applies.
func AcquireSlot(dir, name string) (*ProcessSlot, error) {
	paths, err := newSlotPaths(dir, name)
	if err != nil {
		return nil, err
	}
	counter, err := lockProcessCounter(paths.counterFile())
	if err != nil {
		return nil, err
	}
	defer counter.unlock()
	slot := &ProcessSlot{paths: paths}
	last := max(hotrestart.FirstProcess-1, counter.last(), slot.removeDead())
	slot.Process = last + 1
	if err := counter.setLast(slot.Process); err != nil {
		return nil, err
	}
	if err := slot.open(); err != nil {
		return nil, err
	}
	return slot, nil
}

// removeDead removes the files of processes that have ended, and returns the highest process number that has a lock
// file.
func (s *ProcessSlot) removeDead() (last hotrestart.ProcessNumber) {
	anyAlive := s.legacyAlive()
	for _, process := range s.paths.processes() {
		last = max(last, process)
		if s.Alive(process) {
			anyAlive = true
			continue
		}
		_ = os.Remove(s.paths.socket(process))
		_ = os.Remove(s.paths.lockFile(process))
	}
	if !anyAlive {
		s.paths.cordons().clear()
	}
	return last
}

// open locks the slot's file and listens on its socket.
func (s *ProcessSlot) open() (err error) {
	if s.lock, err = os.OpenFile(s.paths.lockFile(s.Process), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return err
	}
	if err = flock(s.lock, syscall.LOCK_EX); err == nil {
		err = s.listen()
	}
	if err != nil {
		s.Close()
	}
	return err
}

func (s *ProcessSlot) listen() (err error) {
	path := s.paths.socket(s.Process)
	_ = os.Remove(path)
	if s.Listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"}); err != nil {
		return err
	}
	s.Listener.SetUnlinkOnClose(false)
	return os.Chmod(path, 0o600)
}

// Alive reports whether a process is alive. A stopped process counts as alive.
func (s *ProcessSlot) Alive(process hotrestart.ProcessNumber) bool {
	if process == hotrestart.LegacyPredecessor {
		return s.legacyAlive()
	}
	file, err := os.Open(s.paths.lockFile(process))
	if err != nil {
		// If the lock file can't be opened, for example because the process has no descriptors left, it is not known
		// whether the other process is alive. It must not be treated as ended.
		return !errors.Is(err, fs.ErrNotExist)
	}
	defer file.Close()
	return flock(file, syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

// legacyAlive reports whether a process of version 1 listens on the socket of that version. A process that has a slot
// and published its socket under that path does not count.
func (s *ProcessSlot) legacyAlive() bool {
	legacyPath := s.paths.socket(hotrestart.LegacyPredecessor)
	legacy, err := os.Stat(legacyPath)
	if err != nil {
		return false
	}
	for _, process := range s.paths.processes() {
		if own, err := os.Stat(s.paths.socket(process)); err == nil && os.SameFile(legacy, own) {
			return false
		}
	}
	conn, err := Dial(legacyPath, dialTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, fs.ErrNotExist)
	}
	_ = conn.Close()
	return true
}

// Predecessor returns the newest living process that started before this one, or NoProcess.
func (s *ProcessSlot) Predecessor() hotrestart.ProcessNumber {
	for _, process := range slices.Backward(s.paths.processes()) {
		if process < s.Process && s.Alive(process) {
			return process
		}
	}
	if s.legacyAlive() {
		return hotrestart.LegacyPredecessor
	}
	return hotrestart.NoProcess
}

// Connect connects to the socket of a process.
func (s *ProcessSlot) Connect(process hotrestart.ProcessNumber) (*net.UnixConn, error) {
	return Dial(s.paths.socket(process), dialTimeout)
}

// PublishToLegacy makes this process reachable for processes of version 1.
func (s *ProcessSlot) PublishToLegacy() error {
	prepared := s.paths.published()
	_ = os.Remove(prepared)
	if err := os.Link(s.paths.socket(s.Process), prepared); err != nil {
		return err
	}
	err := os.Rename(prepared, s.paths.socket(hotrestart.LegacyPredecessor))
	_ = os.Remove(prepared) // renaming to another link of the same file keeps both
	return err
}

// SetCordon stores whether an engine is cordoned. Storing the same value twice is not an error.
func (s *ProcessSlot) SetCordon(engine string, cordoned bool) error {
	return s.paths.cordons().set(engine, cordoned)
}

// Cordoned returns the cordoned engines.
func (s *ProcessSlot) Cordoned() ([]string, error) { return s.paths.cordons().list() }

// Close releases the slot.
func (s *ProcessSlot) Close() {
	if s.Listener != nil {
		_ = s.Listener.Close()
	}
	socket, legacySocket := s.paths.socket(s.Process), s.paths.socket(hotrestart.LegacyPredecessor)
	own, ownErr := os.Stat(socket)
	legacy, legacyErr := os.Stat(legacySocket)
	if ownErr == nil && legacyErr == nil && os.SameFile(legacy, own) {
		_ = os.Remove(legacySocket)
	}
	_ = os.Remove(socket)
	_ = os.Remove(s.paths.lockFile(s.Process))
	if s.lock != nil {
		_ = s.lock.Close()
	}
}
